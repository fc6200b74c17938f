#include "daemon.h"

#include <Base/error_kind.h>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr char usage[] = R"(bilberryyardd: the daemon of the bilberryyard layer-4 load balancer.

Usage:
  bilberryyardd --settings FILE [--initial-configuration FILE] [--check]
  bilberryyardd --help

Options:
  --settings FILE               The settings of this host, see docs/settings.md.
  --initial-configuration FILE  Configuration of a new deployment; control hosts use it when they have no log.
  --check                       Check the settings and exit.
)";

volatile std::sig_atomic_t stopFlag = 0;

void handleSignal(int) { stopFlag = 1; }

int fail(bilberryyard::event_logger const& logger, bilberryyard::log_event const& event, absl::Status const& status)
{
    logger.emit(event, bilberryyard::messageOf(status));
    return bilberryyard::answerFor(bilberryyard::errorKindOf(status)).exitCode;
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
    struct sigaction action { };
    action.sa_handler = handleSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    auto const& initial = arguments.at("--initial-configuration");
    auto const daemon
        = bilberryyard::daemon::create({ *settings, initial.isString() ? initial.asString() : std::string() });
    if (!daemon.ok())
        return fail(logger, bilberryyard::events::startFailed, daemon.status());
    (*daemon)->run([] { return stopFlag != 0; });
    return 0;
}

} // namespace

int main(int argc, char const** argv) { return run(docopt::docopt(usage, { argv + 1, argv + argc })); }
