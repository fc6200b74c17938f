#pragma once

#include <Configuration/configuration_command.h>
#include <Configuration/configuration_reader.h>
#include <string>

namespace bilberryyard::test {

inline std::string const sampleYaml = R"(defaults:
  flow_idle_timeout: 15m
  peer_lease: 1500ms
zones:
  - name: north
    id: 1
  - name: south
services:
  - name: orders
    id: 1
    addresses: [127.0.1.1, "2001:db8::1"]
    port: 8080
    protocol: tcp
    connection_limit: 2000
    overrides:
      cold_start_seconds: 20
      ejection_failure_ratio: 0.25
  - name: gallery
    id: 2
    addresses: [127.0.1.2]
    port: 8080
    protocol: udp
exceptions:
  - target: service/gallery
    key: slots
    value: 3
    reason: "larger hosts: rack 4"
    author: ana
  - target: server/127.0.2.1:6080
    key: slots
    value: 5
    reason: one host has more cores
    author: ana
)";

inline configuration sampleConfiguration() { return configuration_reader("sample").read(sampleYaml).value(); }

inline configuration_command replaceCommand(
    std::string const& requestId, uint64_t base, std::string const& yaml, std::string const& author = "ana")
{
    return { requestId, base, author, "a reason", wall_time(std::chrono::seconds(1700000000)),
        makeReplaceChange(configuration_reader("sample").read(yaml).value()) };
}

inline std::string servicesYaml(std::string const& services) { return "services:\n" + services; }

inline std::string serviceYaml(std::string const& name, std::string const& address, std::string const& more = "")
{
    return "  - {name: " + name + ", addresses: [" + address + "], port: 80, protocol: tcp" + more + "}\n";
}

} // namespace bilberryyard::test
