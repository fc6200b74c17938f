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
  --name NAME              Name of the server in responses.
  --zone NAME              Availability zone of the server.
  --fabric ENDPOINT        Destination of packets from callers.
  --target SERVICE,ENDPOINT,WEIGHT  A service, its endpoint and its relative share of the flows.
  --gateway ENDPOINT       Destination of packets to callers.
  --slots N                Number of requests processed concurrently [default: 2].
  --connection-limit N     Maximum number of connections [default: 2000].
  --service-time MS        How long a request occupies a slot [default: 2].
  --start-delay MS         Duration of the state "starting" [default: 0].
  --drain-timeout MS       Maximum time to wait for connections to end after SIGTERM [default: 10000].
  --execution-log FILE     File that receives the id of each executed order.
  --rate N                 New request flows per second [default: 200].
  --duration MS            Duration of the load [default: 10000].
  --feeds N                Number of long-lived feeds [default: 100].
  --feed-ramp MS           Time over which the feeds are opened [default: 2000].
  --feed-interval MS       Time between two updates of a feed [default: 500].
  --document-size BYTES    Payload size of documents [default: 4000].
  --seed N                 Seed of all random choices [default: 1].
  --flow-log FILE          File that receives one line for each flow.

The load command exits with 0 if no flow is broken, 1 if a flow is broken, and 2 if no flow received a response.
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

    ip_endpoint parseEndpoint(std::string const& text) { return valueOrExit(ip_endpoint::parse(text)); }

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
        std::cerr << "bilberryyard-emulator: '" << text << "' must have " << count << " comma-separated fields"
                  << std::endl;
        std::exit(presentationFor(error_kind::InvalidArgument).exitCode);
    }

    std::chrono::milliseconds parseMilliseconds(arguments const& options, std::string const& name)
    {
        return std::chrono::milliseconds(options.at(name).asLong());
    }

    uint32_t parseNumber(arguments const& options, std::string const& name)
    {
        return static_cast<uint32_t>(options.at(name).asLong());
    }

    std::string textOrEmpty(arguments const& options, std::string const& name)
    {
        auto const& value = options.at(name);
        return value.isString() ? value.asString() : std::string();
    }

    int runFabric(arguments const& options)
    {
        fabric_settings settings;
        settings.listen = parseEndpoint(options.at("--listen").asString());
        settings.seed = parseNumber(options, "--seed");
        for (auto const& text : options.at("--balancer").asStringList()) {
            auto const parts = splitExactly(text, 2);
            settings.targets.push_back({ parseEndpoint(parts[0]), parseEndpoint(parts[1]) });
        }
        auto fabric = fabric_process::create(settings);
        exitOnError(fabric.status());
        (*fabric)->run();
        return 0;
    }

    int runBackend(arguments const& options)
    {
        backend_settings settings;
        settings.application = { options.at("--service").asString(), options.at("--name").asString(),
            parseNumber(options, "--slots"), parseMilliseconds(options, "--service-time") };
        settings.listen = parseEndpoint(options.at("--listen").asString());
        settings.callerGateway = parseEndpoint(options.at("--gateway").asString());
        for (auto const& text : options.at("--entry-host").asStringList())
            settings.entryHosts.push_back(parseEndpoint(text));
        settings.zone = options.at("--zone").asString();
        settings.connectionLimit = parseNumber(options, "--connection-limit");
        settings.startDelay = parseMilliseconds(options, "--start-delay");
        settings.drainTimeout = parseMilliseconds(options, "--drain-timeout");
        settings.executionLog = textOrEmpty(options, "--execution-log");
        auto backend = backend_process::create(settings);
        exitOnError(backend.status());
        (*backend)->run();
        return 0;
    }

    int runLoad(arguments const& options)
    {
        load_settings settings;
        settings.fabric = parseEndpoint(options.at("--fabric").asString());
        settings.gateway = parseEndpoint(options.at("--gateway").asString());
        for (auto const& text : options.at("--target").asStringList()) {
            auto const parts = splitExactly(text, 3);
            settings.targets.push_back({ parts[0], parseEndpoint(parts[1]),
                static_cast<uint32_t>(std::strtoul(parts[2].c_str(), nullptr, 10)) });
        }
        settings.rate = parseNumber(options, "--rate");
        settings.duration = parseMilliseconds(options, "--duration");
        settings.feeds = parseNumber(options, "--feeds");
        settings.feedRamp = parseMilliseconds(options, "--feed-ramp");
        settings.feedInterval = parseMilliseconds(options, "--feed-interval");
        settings.documentSize = parseNumber(options, "--document-size");
        settings.seed = parseNumber(options, "--seed");
        settings.flowLog = textOrEmpty(options, "--flow-log");
        auto load = load_process::create(settings);
        exitOnError(load.status());
        auto const summary = (*load)->run();
        std::cout << summary.toText() << std::flush;
        if (summary.brokenFlows() > 0)
            return 1;
        return summary.count(caller_outcome::Answered) > 0 ? 0 : 2;
    }

    int run(arguments const& options)
    {
        installStopSignals();
        if (options.at("fabric").asBool())
            return runFabric(options);
        if (options.at("backend").asBool())
            return runBackend(options);
        return runLoad(options);
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
