#include "control_worker.h"
#include "daemon.h"

#include <Base/error_kind.h>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr char usage[] = R"(bilberryyardd: the daemon of the bilberryyard layer-4 load balancer.

Usage:
  bilberryyardd --settings FILE [--check | --found-cluster]
  bilberryyardd --help

Options:
  --settings FILE  The settings of this host, see docs/settings.md.
  --check          Check the settings and exit.
  --found-cluster  Make this control host a bootstrap member of a new deployment's log, in an empty data folder, and
                   exit. Never run it on a host that lost its disk: remove the host's member and add it again.
)";

volatile std::sig_atomic_t stopFlag = 0;

void handleSignal(int) { stopFlag = 1; }

int fail(bilberryyard::event_logger const& logger, bilberryyard::log_event const& event, absl::Status const& status)
{
    logger.emit(event, bilberryyard::messageOf(status));
    return bilberryyard::presentationFor(bilberryyard::errorKindOf(status)).exitCode;
}

int bootstrapCluster(bilberryyard::event_logger const& logger, bilberryyard::daemon_settings const& settings)
{
    auto const status = settings.control ? bilberryyard::control_worker::bootstrap(settings)
                                         : bilberryyard::makeError(bilberryyard::error_kind::InvalidArgument,
                                             "the settings do not have the role control");
    return status.ok() ? 0 : fail(logger, bilberryyard::events::startFailed, status);
}

int run(std::map<std::string, docopt::value> const& arguments)
{
    bilberryyard::event_logger::configureProcess(bilberryyard::log_severity::Information);
    bilberryyard::event_logger const logger("daemon");
    auto const settings = bilberryyard::daemon_settings::readFile(arguments.at("--settings").asString());
    if (!settings.ok())
        return fail(logger, bilberryyard::events::settingsRefused, settings.status());
    if (arguments.at("--check").asBool())
        return 0;
    bilberryyard::event_logger::configureProcess(settings->logLevel);
    if (arguments.at("--found-cluster").asBool())
        return bootstrapCluster(logger, *settings);
    struct sigaction action { };
    action.sa_handler = handleSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    auto const daemon = bilberryyard::daemon::create(*settings);
    if (!daemon.ok())
        return fail(logger, bilberryyard::events::startFailed, daemon.status());
    (*daemon)->run([] { return stopFlag != 0; });
    return 0;
}

} // namespace

int main(int argc, char const** argv) { return run(docopt::docopt(usage, { argv + 1, argv + argc })); }
