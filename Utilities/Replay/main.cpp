#include "replay_report.h"
#include "trace_folder.h"
#include "trace_scenarios.h"
#include <Base/error_kind.h>
#include <Trace/trace_writer.h>
#include <algorithm>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>

namespace bilberryyard {

namespace {

    constexpr char usage[] = R"(bilberryyard-replay: replays traces and compares the results with the expected outcomes.

Usage:
  bilberryyard-replay generate --folder FOLDER [NAME...]
  bilberryyard-replay run --folder FOLDER [--router ROUTER] [--without MECHANISM]... [--verbose] [NAME...]
  bilberryyard-replay absences --folder FOLDER [NAME...]
  bilberryyard-replay report --folder FOLDER --output FOLDER [NAME...]
  bilberryyard-replay --help

Commands:
  generate   Generates the trace files.
  run        Replays traces; exits with 1 when an outcome is not as expected.
  absences   Replays each trace without each mechanism that its YAML file lists in fails_without; exits with 1 when
             the listed outcome does not get worse.
  report     Compares the flow router with the baselines by the users' measures; writes report.txt and report.svg.

Options:
  --folder FOLDER      Folder with NAME.trace and NAME.yaml.
  --router ROUTER      flow, consistent-hash or maglev [default: flow].
  --without MECHANISM  tracking, witnesses, synchronisation-check, refusal-rule, drain-state, service-separation,
                       server-lease, leader-lease, request-table, base-check, revision-order or log-sync.
  --output FOLDER      Folder for the report.
  --verbose            Print every outcome, not only those in the YAML file.
)";

    using arguments = std::map<std::string, docopt::value>;

    int fail(absl::Status const& status)
    {
        std::cerr << "bilberryyard-replay: " << messageOf(status) << std::endl;
        return presentationFor(errorKindOf(status)).exitCode;
    }

    absl::Status writeTrace(std::string const& path, trace_scenario const& scenario)
    {
        auto writer = trace_writer::create(path, scenario.header());
        if (!writer.ok())
            return writer.status();
        for (auto const& input : scenario.inputs()) {
            if (auto status = writer->write(input); !status.ok())
                return status;
        }
        return writer->finish();
    }

    int generate(std::string const& folder, std::vector<std::string> const& only)
    {
        for (auto const& scenario : makeScenarios()) {
            auto const& name = scenario.header().name;
            if (!only.empty() && std::find(only.begin(), only.end(), name) == only.end())
                continue;
            auto const path = (std::filesystem::path(folder) / (name + ".trace")).string();
            if (auto status = writeTrace(path, scenario); !status.ok())
                return fail(status);
            std::cout << path << ": " << std::filesystem::file_size(path) << " bytes" << std::endl;
        }
        return 0;
    }

    int run(arguments const& given)
    {
        auto const folder = given.at("--folder").asString();
        auto const names = given.at("NAME").asStringList();
        if (given.at("generate").asBool())
            return generate(folder, names);
        if (given.at("absences").asBool())
            return runAblations(folder, names);
        if (given.at("report").asBool())
            return writeReport(folder, given.at("--output").asString(), names);
        replay_options options;
        for (auto const& name : given.at("--without").asStringList()) {
            auto const mechanism = replayMechanismOf(name);
            if (!mechanism)
                return fail(makeError(error_kind::InvalidArgument, "unknown mechanism '" + name + "'; see --help"));
            options.disabled.insert(*mechanism);
        }
        auto const policy = replayPolicyOf(given.at("--router").asString());
        if (!policy.ok())
            return fail(policy.status());
        auto const detail = given.at("--verbose").asBool() ? outcome_detail::All : outcome_detail::Expected;
        return runTraces(folder, names, *policy, options, detail);
    }

} // namespace

} // namespace bilberryyard

int main(int argc, char const** argv)
{
    try {
        return bilberryyard::run(docopt::docopt(bilberryyard::usage, { argv + 1, argv + argc }));
    } catch (std::exception const& error) {
        std::cerr << "bilberryyard-replay: " << error.what() << std::endl;
        return bilberryyard::presentationFor(bilberryyard::error_kind::InvalidArgument).exitCode;
    }
}
