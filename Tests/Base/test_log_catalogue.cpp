#include <Base/log_event.h>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <regex>
#include <string>

namespace {

std::map<int, std::string> readCatalogue()
{
    std::ifstream file(std::string(BILBERRYYARD_SOURCE_DIR) + "/docs/log-catalogue.md");
    std::regex const row(R"(^\| (\d+) \| `([a-z_0-9]+)` \|.*)");
    std::map<int, std::string> result;
    std::string line;
    std::smatch match;
    while (std::getline(file, line)) {
        if (std::regex_match(line, match, row))
            result.emplace(std::stoi(match[1]), match[2]);
    }
    return result;
}

// Guards against events that are missing in the catalogue, where operators look them up, and against event numbers that
// are used twice.
BOOST_AUTO_TEST_CASE(log_catalogue_lists_exactly_the_events_of_the_code)
{
    std::map<int, std::string> codeEvents;
    for (auto const& event : bilberryyard::allLogEvents())
        BOOST_TEST(codeEvents.emplace(event.number, event.name).second, "number " << event.number << " is used twice");
    auto const catalogueEvents = readCatalogue();
    BOOST_TEST((codeEvents == catalogueEvents));
    for (auto const& [number, name] : codeEvents)
        BOOST_TEST(
            catalogueEvents.contains(number), "event " << number << " " << name << " is not in docs/log-catalogue.md");
    for (auto const& [number, name] : catalogueEvents)
        BOOST_TEST(codeEvents.contains(number), "event " << number << " " << name << " is not in the code");
}

} // namespace
