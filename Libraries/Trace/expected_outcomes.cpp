#include <Trace/expected_outcomes.h>

#include <Base/error_kind.h>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace bilberryyard {

namespace {

    std::string numberText(double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    void requireKeys(YAML::Node const& node, std::set<std::string> const& known, std::string const& where)
    {
        if (!node.IsMap())
            throw std::runtime_error(where + " must be a map");
        for (auto const& item : node) {
            auto const key = item.first.as<std::string>();
            if (!known.contains(key))
                throw std::runtime_error(std::string("unknown key '").append(key).append("' in ").append(where));
        }
    }

    expected_limits readLimits(YAML::Node const& node, std::string const& name)
    {
        requireKeys(node, { "at_least", "at_most" }, "outcome " + name);
        expected_limits limit;
        if (node["at_least"])
            limit.atLeast = node["at_least"].as<double>();
        if (node["at_most"])
            limit.atMost = node["at_most"].as<double>();
        if (!limit.atLeast && !limit.atMost)
            throw std::runtime_error("outcome " + name + " must have at_least or at_most");
        return limit;
    }

    expected_outcomes readOutcomes(YAML::Node const& root)
    {
        requireKeys(root, { "proves", "statement", "outcomes", "fails_without" }, "the top level");
        expected_outcomes result;
        result.requirement = root["proves"].as<std::string>();
        result.statement = root["statement"].as<std::string>();
        for (auto const& item : root["outcomes"]) {
            auto const name = item.first.as<std::string>();
            result.limits[name] = readLimits(item.second, name);
        }
        if (result.limits.empty())
            throw std::runtime_error("'outcomes' must list at least one outcome");
        for (auto const& item : root["fails_without"]) {
            requireKeys(item, { "mechanism", "breaks" }, "fails_without");
            result.ablations.push_back({ item["mechanism"].as<std::string>(), item["breaks"].as<std::string>() });
            if (!result.limits.contains(result.ablations.back().violatedOutcome))
                throw std::runtime_error("fails_without refers to outcome '" + result.ablations.back().violatedOutcome
                    + "', which is not listed in outcomes");
        }
        return result;
    }

} // namespace

double expected_limits::excess(double value) const
{
    if (atLeast && value < *atLeast)
        return *atLeast - value;
    return atMost && value > *atMost ? value - *atMost : 0;
}

std::string expected_limits::toText() const
{
    if (atLeast && atMost && *atLeast == *atMost)
        return "exactly " + numberText(*atLeast);
    std::string text = atLeast ? "at least " + numberText(*atLeast) : "";
    if (atMost)
        text += (text.empty() ? "at most " : " and at most ") + numberText(*atMost);
    return text;
}

absl::StatusOr<expected_outcomes> expected_outcomes::read(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(error_kind::NotFound, "cannot open " + path);
    try {
        return readOutcomes(YAML::Load(file));
    } catch (std::exception const& error) {
        return makeError(error_kind::InvalidArgument, path + ": " + error.what());
    }
}

std::vector<std::string> expected_outcomes::differences(std::map<std::string, double> const& metrics) const
{
    std::vector<std::string> result;
    for (auto const& [name, limit] : limits) {
        auto const found = metrics.find(name);
        if (found == metrics.end())
            result.push_back(name + " is not measured");
        else if (!limit.holds(found->second))
            result.push_back(name + " is " + numberText(found->second) + ", expected " + limit.toText());
    }
    return result;
}

} // namespace bilberryyard
