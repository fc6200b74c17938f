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

    std::string limitsText(expected_outcomes const& expected, std::map<std::string, double> const& metrics)
    {
        std::string text;
        for (auto const& [name, limit] : expected.limits) {
            auto const found = metrics.find(name);
            std::ostringstream value;
            if (found != metrics.end())
                value << found->second;
            text += (text.empty() ? "" : ", ") + name + "=" + value.str() + " (" + limit.toText() + ")";
        }
        return text;
    }

    struct ablation_run {
        trace_with_expectations trace;
        expected_ablation_failure ablation;
    };

    struct ablation_result {
        bool isDetected = false;
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

    ablation_result runAblation(ablation_run const& run)
    {
        std::string const prefix = "router=";
        auto policy = absl::StatusOr<replay_policy>(replay_policy::FlowRouter);
        replay_options options;
        auto const name = run.trace.name + " without " + run.ablation.mechanism + ": ";
        if (run.ablation.mechanism.starts_with(prefix)) {
            policy = replayPolicyOf(run.ablation.mechanism.substr(prefix.size()));
        } else if (auto const mechanism = replayMechanismOf(run.ablation.mechanism)) {
            options.disabled.insert(*mechanism);
        } else {
            return { false, name + "unknown mechanism" };
        }
        if (!policy.ok())
            return { false, name + messageOf(policy.status()) };
        auto const with = measure(run.trace.path, replay_policy::FlowRouter, {}, run.ablation.violatedOutcome);
        auto const without = measure(run.trace.path, *policy, options, run.ablation.violatedOutcome);
        if (!with.ok() || !without.ok())
            return { false, name + messageOf(with.ok() ? without.status() : with.status()) };
        auto const& limit = run.trace.expected.limits.at(run.ablation.violatedOutcome);
        // The outcome of a trace with a known failure may be outside its limits even with the mechanism. It must then
        // be further outside without it.
        bool const isDetected = limit.excess(*without) > limit.excess(*with);
        std::ostringstream line;
        line << name << run.ablation.violatedOutcome << "=" << *without << " (with it " << *with << "), expected "
             << limit.toText() << (isDetected ? ": fails as expected" : ": NOT DETECTED");
        return { isDetected, line.str() };
    }

} // namespace

absl::StatusOr<std::vector<trace_with_expectations>> readTraceFolder(
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
    std::vector<trace_with_expectations> result;
    for (auto const& name : names) {
        auto const base = (std::filesystem::path(folder) / name).string();
        auto expected = expected_outcomes::read(base + ".yaml");
        if (!expected.ok())
            return expected.status();
        result.push_back({ name, base + ".trace", *std::move(expected) });
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
    auto const outcomes = runInParallel(
        *traces, [&](trace_with_expectations const& trace) { return replayTrace(trace.path, policy, options); });
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
        auto const differences = trace.expected.differences(metrics);
        if (differences.empty()) {
            std::cout << "ok    " << trace.name << ": " << limitsText(trace.expected, metrics) << std::endl;
        } else {
            std::cout << "DIFFERS " << trace.name << " (seed " << reader->header().seed << "):";
            for (auto const& difference : differences)
                std::cout << " " << difference << ";";
            std::cout << std::endl;
            exitCode = differenceExitCode;
        }
        if (detail == outcome_detail::Expected)
            continue;
        for (auto const& [name, value] : metrics)
            std::cout << "      " << name << " " << value << std::endl;
    }
    return exitCode;
}

int runAblations(std::string const& folder, std::vector<std::string> const& only)
{
    auto const traces = readTraceFolder(folder, only);
    if (!traces.ok()) {
        std::cerr << "bilberryyard-replay: " << messageOf(traces.status()) << std::endl;
        return presentationFor(errorKindOf(traces.status())).exitCode;
    }
    std::vector<ablation_run> runs;
    int exitCode = 0;
    for (auto const& trace : *traces) {
        if (trace.expected.ablations.empty()) {
            std::cout << trace.name << ": fails_without lists no mechanism" << std::endl;
            exitCode = differenceExitCode;
        }
        for (auto const& ablation : trace.expected.ablations)
            runs.push_back({ trace, ablation });
    }
    for (auto const& result : runInParallel(runs, runAblation)) {
        std::cout << result.line << std::endl;
        if (!result.isDetected)
            exitCode = differenceExitCode;
    }
    return exitCode;
}

} // namespace bilberryyard
