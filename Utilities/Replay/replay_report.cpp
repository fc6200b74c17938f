#include "replay_report.h"

#include "parallel_results.h"
#include "trace_folder.h"
#include <Base/error_kind.h>
#include <Trace/svg_bar_chart.h>
#include <Trace/trace_reader.h>
#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr std::array<replay_policy, 3> policies { replay_policy::FlowRouter, replay_policy::ConsistentHash,
        replay_policy::Maglev };
    std::vector<std::string> const policyNames { "flow_router", "consistent_hash_router", "maglev_router" };
    // Minimum of the mean number of flows per server for a sample to count. With fewer flows the ratio says little: at
    // 50 flows per server, random variation alone gives 1.4.
    constexpr double minimumMean = 50;

    struct report_row {
        std::string trace;
        std::string deployment;
        std::array<absl::StatusOr<replay_outcome>, 3> outcomes;
    };

    /// Mean over time of the imbalance, which is the maximum divided by the mean of the flows per server; 0 when there
    /// were too few flows.
    double meanImbalance(replay_outcome const& outcome, std::string const& service, duration from)
    {
        double sum = 0;
        size_t count = 0;
        for (auto const& sample : outcome.imbalance) {
            if (sample.service != service || sample.time < from || sample.mean < minimumMean)
                continue;
            sum += sample.value;
            ++count;
        }
        return count == 0 ? 0 : sum / static_cast<double>(count);
    }

    kind_outcome kindOf(replay_outcome const& outcome, std::string const& kind)
    {
        auto const found = outcome.kinds.find(kind);
        return found == outcome.kinds.end() ? kind_outcome {} : found->second;
    }

    /// Measure of the Derwent deployment: completed holds, refreshes and packs divided by those offered. Holds count
    /// twice.
    double weightedCompletionRatio(replay_outcome const& outcome)
    {
        auto const hold = kindOf(outcome, "hold");
        auto const refresh = kindOf(outcome, "refresh");
        auto const pack = kindOf(outcome, "pack");
        auto const offered = 2 * hold.offered + refresh.offered + pack.offered;
        auto const completed = 2 * hold.completed + refresh.completed + pack.completed;
        return offered == 0 ? 0 : static_cast<double>(completed) / static_cast<double>(offered);
    }

    /// Mean response time of completed holds, refreshes and packs in milliseconds. Holds count twice.
    double weightedMeanTime(replay_outcome const& outcome)
    {
        double time = 0;
        double completed = 0;
        for (auto const& [kind, weight] :
            { std::pair("hold", 2.0), std::pair("refresh", 1.0), std::pair("pack", 1.0) }) {
            auto const counts = kindOf(outcome, kind);
            time += weight * std::chrono::duration<double, std::milli>(counts.totalTime).count();
            completed += weight * static_cast<double>(counts.completed);
        }
        return completed == 0 ? 0 : time / completed;
    }

    template <typename Measure>
    svg_bar_group groupOf(report_row const& row, Measure const& measure)
    {
        svg_bar_group group { row.trace, {} };
        for (auto const& outcome : row.outcomes)
            group.values.push_back(measure(*outcome));
        return group;
    }

    /// Adds one measure of all traces of a deployment to the text and to the chart. Traces in which the measure is 0
    /// for all policies are left out.
    template <typename Measure>
    void addMeasure(std::ostream& text, svg_bar_chart& chart, std::vector<report_row> const& rows,
        std::string const& deployment, std::string const& title, Measure const& measure)
    {
        std::vector<svg_bar_group> groups;
        for (auto const& row : rows) {
            if (row.deployment != deployment)
                continue;
            auto group = groupOf(row, measure);
            bool const isMeasured
                = std::any_of(group.values.begin(), group.values.end(), [](double value) { return value != 0; });
            if (isMeasured)
                groups.push_back(std::move(group));
        }
        if (groups.empty())
            return;
        text << "\n" << title << "\n" << std::left << std::setw(26) << "trace";
        for (auto const& name : policyNames)
            text << std::right << std::setw(24) << name;
        text << "\n";
        for (auto const& group : groups) {
            text << std::left << std::setw(26) << group.label;
            for (auto const value : group.values)
                text << std::right << std::setw(24) << value;
            text << "\n";
        }
        chart.add(title, groups);
    }

    void addDeployment(std::ostream& text, svg_bar_chart& chart, std::vector<report_row> const& rows,
        std::string const& deployment, std::array<std::string, 2> const& services)
    {
        addMeasure(text, chart, rows, deployment, deployment + ": broken flows (traces with 0 for all are left out)",
            [](replay_outcome const& outcome) { return static_cast<double>(outcome.brokenFlows); });
        for (auto const& service : services) {
            auto title = deployment;
            title.append(": imbalance of ").append(service).append(", mean over time");
            addMeasure(text, chart, rows, deployment, title, [&](replay_outcome const& outcome) {
                return meanImbalance(outcome, service, std::chrono::seconds(9));
            });
        }
        if (deployment != "derwent")
            return;
        addMeasure(text, chart, rows, deployment,
            deployment + ": completed over offered holds, refreshes and packs, holds counted twice",
            weightedCompletionRatio);
        addMeasure(text, chart, rows, deployment,
            deployment + ": mean time of those in milliseconds, holds counted twice", weightedMeanTime);
    }

    report_row replayAll(trace_with_expectations const& trace)
    {
        report_row row;
        row.trace = trace.name;
        row.deployment = trace.name.substr(0, trace.name.find('-'));
        for (size_t index = 0; index < policies.size(); ++index)
            row.outcomes[index] = replayTrace(trace.path, policies[index], {});
        return row;
    }

} // namespace

int writeReport(std::string const& traces, std::string const& output, std::vector<std::string> const& only)
{
    auto const expected = readTraceFolder(traces, only);
    if (!expected.ok()) {
        std::cerr << "bilberryyard-replay: " << messageOf(expected.status()) << std::endl;
        return presentationFor(errorKindOf(expected.status())).exitCode;
    }
    auto const rows = runInParallel(*expected, replayAll);
    for (auto const& row : rows) {
        for (auto const& outcome : row.outcomes) {
            if (outcome.ok())
                continue;
            std::cerr << "bilberryyard-replay: " << row.trace << ": " << messageOf(outcome.status()) << std::endl;
            return presentationFor(errorKindOf(outcome.status())).exitCode;
        }
    }
    std::ostringstream text;
    text << "Users' measures on the committed traces (bilberryyard-replay report)\n";
    svg_bar_chart chart("Users' measures on the committed traces", policyNames);
    addDeployment(text, chart, rows, "flessenpost", { "orders", "gallery" });
    addDeployment(text, chart, rows, "derwent", { "bookings", "packs" });
    std::filesystem::create_directories(output);
    std::ofstream textFile(std::filesystem::path(output) / "report.txt");
    std::ofstream chartFile(std::filesystem::path(output) / "report.svg");
    textFile << text.str();
    chartFile << chart.toText();
    textFile.close();
    chartFile.close();
    if (!textFile || !chartFile) {
        std::cerr << "bilberryyard-replay: cannot write to " << output << std::endl;
        return presentationFor(error_kind::Unavailable).exitCode;
    }
    std::cout << text.str();
    return 0;
}

} // namespace bilberryyard
