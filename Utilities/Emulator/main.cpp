#include "backend_process.h"
#include "fabric_process.h"
#include "load_process.h"
#include "stop_signal.h"
#include <Base/error_kind.h>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr char usage[]
        = R"(bilberryyard-emulator: emulated fabric, backend servers and callers on loopback addresses.

Usage:
  bilberryyard-emulator fabric --listen ENDPOINT --balancer PACKETS,HTTP... [--seed N]
  bilberryyard-emulator backend --service NAME --name NAME --listen ENDPOINT --gateway ENDPOINT
      --entry-host HTTP... --zone NAME [--slots N] [--connection-limit N] [--service-time MS]
      [--start-delay MS] [--drain-timeout MS] [--execution-log FILE]
  bilberryyard-emulator load --fabric ENDPOINT --gateway ENDPOINT --target SERVICE,ENDPOINT,WEIGHT...
      [--rate N] [--duration MS] [--feeds N] [--feed-ramp MS] [--feed-interval MS]
      [--document-size BYTES] [--seed N] [--flow-log FILE]
  bilberryyard-emulator --help

Options:
  --listen ENDPOINT        Address and port to receive packets on.
  --balancer PACKETS,HTTP  Packet endpoint and HTTP endpoint of a balancer.
  --entry-host HTTP        HTTP endpoint of an entry host, for announcements.
  --service NAME           Name of the service that the server belongs to.
  --name NAME              Name of the server in answers.
  --zone NAME              Availability zone of the server.
  --fabric ENDPOINT        Where packets of callers go.
  --target SERVICE,ENDPOINT,WEIGHT  A service, its address and its share of the flows.
  --gateway ENDPOINT       Where packets to callers go.
  --slots N                Requests worked on at a time [default: 2].
  --connection-limit N     Connections admitted [default: 2000].
  --service-time MS        Time a request occupies a slot [default: 2].
  --start-delay MS         Time in state "starting" [default: 0].
  --drain-timeout MS       Longest wait for connections after SIGTERM [default: 10000].
  --execution-log FILE     Receives the id of each executed order.
  --rate N                 New request flows a second [default: 200].
  --duration MS            Length of the run [default: 10000].
  --feeds N                Long-lived feeds [default: 100].
  --feed-ramp MS           Time over which the feeds are opened [default: 2000].
  --feed-interval MS       Time between two updates of a feed [default: 500].
  --document-size BYTES    Answer size of documents [default: 4000].
  --seed N                 Seed of all random choices [default: 1].
  --flow-log FILE          Receives one line for each flow.

The load command exits with 0 when no flow is broken, 1 when one is, and 2 when no flow was answered.
)";

    using arguments = std::map<std::string, docopt::value>;

    template <typename Value>
    Value valueOrExit(absl::StatusOr<Value> const& value)
    {
        if (value.ok())
            return *value;
        std::cerr << "bilberryyard-emulator: " << messageOf(value.status()) << std::endl;
        std::exit(presentationFor(errorKindOf(value.status())).exitCode);
    }

    void exitOnError(absl::Status const& status)
    {
        if (!status.ok())
            valueOrExit(absl::StatusOr<int>(status));
    }

    ip_endpoint endpoint(std::string const& text) { return valueOrExit(ip_endpoint::parse(text)); }

    std::vector<std::string> split(std::string const& text)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        std::string part;
        while (std::getline(stream, part, ','))
            parts.push_back(part);
        return parts;
    }

    std::vector<std::string> splitExactly(std::string const& text, size_t count)
    {
        auto parts = split(text);
        if (parts.size() == count)
            return parts;
        std::cerr << "bilberryyard-emulator: '" << text << "' must have " << count << " parts" << std::endl;
        std::exit(presentationFor(error_kind::InvalidArgument).exitCode);
    }

    std::chrono::milliseconds milliseconds(arguments const& given, std::string const& name)
    {
        return std::chrono::milliseconds(given.at(name).asLong());
    }

    uint32_t number(arguments const& given, std::string const& name)
    {
        return static_cast<uint32_t>(given.at(name).asLong());
    }

    std::string textOrEmpty(arguments const& given, std::string const& name)
    {
        auto const& value = given.at(name);
        return value.isString() ? value.asString() : std::string();
    }

    int runFabric(arguments const& given)
    {
        fabric_settings settings;
        settings.listen = endpoint(given.at("--listen").asString());
        settings.seed = number(given, "--seed");
        for (auto const& text : given.at("--balancer").asStringList()) {
            auto const parts = splitExactly(text, 2);
            settings.targets.push_back({ endpoint(parts[0]), endpoint(parts[1]) });
        }
        auto fabric = fabric_process::create(settings);
        exitOnError(fabric.status());
        (*fabric)->run();
        return 0;
    }

    int runBackend(arguments const& given)
    {
        backend_settings settings;
        settings.application = { given.at("--service").asString(), given.at("--name").asString(),
            number(given, "--slots"), milliseconds(given, "--service-time") };
        settings.listen = endpoint(given.at("--listen").asString());
        settings.callerGateway = endpoint(given.at("--gateway").asString());
        for (auto const& text : given.at("--entry-host").asStringList())
            settings.entryHosts.push_back(endpoint(text));
        settings.zone = given.at("--zone").asString();
        settings.connectionLimit = number(given, "--connection-limit");
        settings.startDelay = milliseconds(given, "--start-delay");
        settings.drainTimeout = milliseconds(given, "--drain-timeout");
        settings.executionLog = textOrEmpty(given, "--execution-log");
        auto backend = backend_process::create(settings);
        exitOnError(backend.status());
        (*backend)->run();
        return 0;
    }

    int runLoad(arguments const& given)
    {
        load_settings settings;
        settings.fabric = endpoint(given.at("--fabric").asString());
        settings.gateway = endpoint(given.at("--gateway").asString());
        for (auto const& text : given.at("--target").asStringList()) {
            auto const parts = splitExactly(text, 3);
            settings.targets.push_back(
                { parts[0], endpoint(parts[1]), static_cast<uint32_t>(std::strtoul(parts[2].c_str(), nullptr, 10)) });
        }
        settings.rate = number(given, "--rate");
        settings.duration = milliseconds(given, "--duration");
        settings.feeds = number(given, "--feeds");
        settings.feedRamp = milliseconds(given, "--feed-ramp");
        settings.feedInterval = milliseconds(given, "--feed-interval");
        settings.documentSize = number(given, "--document-size");
        settings.seed = number(given, "--seed");
        settings.flowLog = textOrEmpty(given, "--flow-log");
        auto load = load_process::create(settings);
        exitOnError(load.status());
        auto const summary = (*load)->run();
        std::cout << summary.toText() << std::flush;
        if (summary.brokenFlows() > 0)
            return 1;
        return summary.count(caller_outcome::Answered) > 0 ? 0 : 2;
    }

    int run(arguments const& given)
    {
        installStopSignals();
        if (given.at("fabric").asBool())
            return runFabric(given);
        if (given.at("backend").asBool())
            return runBackend(given);
        return runLoad(given);
    }

} // namespace

} // namespace bilberryyard

int main(int argc, char const** argv)
{
    try {
        return bilberryyard::run(docopt::docopt(bilberryyard::usage, { argv + 1, argv + argc }));
    } catch (std::exception const& error) {
        std::cerr << "bilberryyard-emulator: " << error.what() << std::endl;
        return bilberryyard::presentationFor(bilberryyard::error_kind::InvalidArgument).exitCode;
    }
}
