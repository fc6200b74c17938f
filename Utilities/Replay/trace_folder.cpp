#include "trace_folder.h"

#include "parallel_results.h"
#include <Base/error_kind.h>
#include <Trace/trace_reader.h>
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr int differenceExitCode = 1;

    std::string limitsText(stated_outcomes const& stated, std::map<std::string, double> const& metrics)
    {
        std::string text;
        for (auto const& [name, limit] : stated.limits) {
            auto const found = metrics.find(name);
            std::ostringstream value;
            if (found != metrics.end())
                value << found->second;
            text += (text.empty() ? "" : ", ") + name + "=" + value.str() + " (" + limit.toText() + ")";
        }
        return text;
    }

    struct absence_run {
        stated_trace trace;
        stated_absence absence;
    };

    struct absence_result {
        bool noticed = false;
        std::string line;
    };

    absl::StatusOr<double> measure(
        std::string const& path, replay_policy policy, replay_options const& options, std::string const& name)
    {
        auto const outcome = replayTrace(path, policy, options);
        if (!outcome.ok())
            return outcome.status();
        auto const reader = trace_reader::create(path);
        if (!reader.ok())
            return reader.status();
        auto const metrics = outcome->metrics(reader->header().imbalanceFrom);
        auto const value = metrics.find(name);
        if (value == metrics.end())
            return makeError(error_kind::NotFound, "outcome " + name + " is not measured");
        return value->second;
    }

    absence_result runAbsence(absence_run const& run)
    {
        std::string const prefix = "router=";
        auto policy = absl::StatusOr<replay_policy>(replay_policy::FlowRouter);
        replay_options options;
        auto const name = run.trace.name + " without " + run.absence.mechanism + ": ";
        if (run.absence.mechanism.starts_with(prefix)) {
            policy = replayPolicyOf(run.absence.mechanism.substr(prefix.size()));
        } else if (auto const mechanism = replayMechanismOf(run.absence.mechanism)) {
            options.absent.insert(*mechanism);
        } else {
            return { false, name + "unknown mechanism" };
        }
        if (!policy.ok())
            return { false, name + messageOf(policy.status()) };
        auto const with = measure(run.trace.path, replay_policy::FlowRouter, {}, run.absence.breaks);
        auto const without = measure(run.trace.path, *policy, options, run.absence.breaks);
        if (!with.ok() || !without.ok())
            return { false, name + messageOf(with.ok() ? without.status() : with.status()) };
        auto const& limit = run.trace.stated.limits.at(run.absence.breaks);
        // A trace that is known to differ must differ more.
        bool const noticed = limit.excess(*without) > limit.excess(*with);
        std::ostringstream line;
        line << name << run.absence.breaks << "=" << *without << " (with it " << *with << "), stated " << limit.toText()
             << (noticed ? ": fails as it must" : ": NOT NOTICED");
        return { noticed, line.str() };
    }

} // namespace

absl::StatusOr<std::vector<stated_trace>> readTraceFolder(
    std::string const& folder, std::vector<std::string> const& only)
{
    std::error_code error;
    std::vector<std::string> names = only;
    if (names.empty()) {
        for (auto const& entry : std::filesystem::directory_iterator(folder, error)) {
            if (entry.path().extension() == ".trace")
                names.push_back(entry.path().stem());
        }
        std::sort(names.begin(), names.end());
    }
    if (error || names.empty())
        return makeError(error_kind::NotFound, "no traces in " + folder);
    std::vector<stated_trace> result;
    for (auto const& name : names) {
        auto const base = (std::filesystem::path(folder) / name).string();
        auto stated = stated_outcomes::read(base + ".yaml");
        if (!stated.ok())
            return stated.status();
        result.push_back({ name, base + ".trace", *std::move(stated) });
    }
    return result;
}

int runTraces(std::string const& folder, std::vector<std::string> const& only, replay_policy policy,
    replay_options const& options, outcome_detail detail)
{
    auto const traces = readTraceFolder(folder, only);
    if (!traces.ok()) {
        std::cerr << "bilberryyard-replay: " << messageOf(traces.status()) << std::endl;
        return presentationFor(errorKindOf(traces.status())).exitCode;
    }
    auto const outcomes
        = resultsOf(*traces, [&](stated_trace const& trace) { return replayTrace(trace.path, policy, options); });
    int exitCode = 0;
    for (size_t index = 0; index < traces->size(); ++index) {
        auto const& trace = (*traces)[index];
        if (!outcomes[index].ok()) {
            std::cout << "ERROR " << trace.name << ": " << messageOf(outcomes[index].status()) << std::endl;
            exitCode = differenceExitCode;
            continue;
        }
        auto const reader = trace_reader::create(trace.path);
        auto const metrics = outcomes[index]->metrics(reader->header().imbalanceFrom);
        auto const differences = trace.stated.differences(metrics);
        if (differences.empty()) {
            std::cout << "ok    " << trace.name << ": " << limitsText(trace.stated, metrics) << std::endl;
        } else {
            std::cout << "DIFFERS " << trace.name << " (seed " << reader->header().seed << "):";
            for (auto const& difference : differences)
                std::cout << " " << difference << ";";
            std::cout << std::endl;
            exitCode = differenceExitCode;
        }
        if (detail == outcome_detail::Stated)
            continue;
        for (auto const& [name, value] : metrics)
            std::cout << "      " << name << " " << value << std::endl;
    }
    return exitCode;
}

int runAbsences(std::string const& folder, std::vector<std::string> const& only)
{
    auto const traces = readTraceFolder(folder, only);
    if (!traces.ok()) {
        std::cerr << "bilberryyard-replay: " << messageOf(traces.status()) << std::endl;
        return presentationFor(errorKindOf(traces.status())).exitCode;
    }
    std::vector<absence_run> runs;
    int exitCode = 0;
    for (auto const& trace : *traces) {
        if (trace.stated.absences.empty()) {
            std::cout << trace.name << ": names no mechanism without which it fails" << std::endl;
            exitCode = differenceExitCode;
        }
        for (auto const& absence : trace.stated.absences)
            runs.push_back({ trace, absence });
    }
    for (auto const& result : resultsOf(runs, runAbsence)) {
        std::cout << result.line << std::endl;
        if (!result.noticed)
            exitCode = differenceExitCode;
    }
    return exitCode;
}

} // namespace bilberryyard
