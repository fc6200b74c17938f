#include <Base/error_kind.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/daemon_settings.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace bilberryyard;

namespace {

std::string const settingsFolder = std::string(BILBERRYYARD_SOURCE_DIR) + "/Meta/settings/";

std::string const settingsYaml = R"(deployment: demo
host_id: 1
zone: north
roles: [balancer, control]
log_level: warning
http: 127.0.0.1:8080
data_folder: data
balancer:
  packet: 127.0.0.1:7000
  relay: 127.0.0.1:7001
  peer: "[::1]:7100"
  caller_gateway: 127.0.0.1:7300
control:
  peer: 127.0.0.1:7200
  distribution: 127.0.0.1:7201
entry_hosts:
  - {host_id: 1, zone: north, peer: "[::1]:7100", relay: "127.0.0.1:7001"}
  - {host_id: 2, zone: south, peer: "127.0.0.2:7100", relay: "127.0.0.2:7001"}
control_members:
  - {host_id: 1, peer: "127.0.0.1:7200", distribution: "127.0.0.1:7201"}
)";

struct refusal_row {
    std::string replaced;
    std::string replacement;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, refusal_row const& row) { return stream << row.message; }

refusal_row const refusals[] = {
    { "zone: north\n", "zon: north\n", "s.yaml:3: zon: unknown key; did you mean 'zone'?" },
    { "zone: north\n", "", "s.yaml:1: the key 'zone' is missing" },
    { "host_id: 1", "host_id: 0", "s.yaml:2: host_id: '0' is not allowed; expected a whole number from 1 to 4094" },
    { "zone: north", "zone: North", "s.yaml:3: zone: a name is 1 to 64 characters" },
    { "control]", "contrl]", "s.yaml:4: roles[1]: unknown role; did you mean 'control'?" },
    { "control]", "balancer]", "s.yaml:4: roles[1]: the role is given twice" },
    { "[balancer, control]", "[]", "s.yaml:4: roles: at least one role is needed" },
    { "[balancer, control]", "[balancer]", "s.yaml:13: control: the host does not have the role control" },
    { "warning", "warn", "s.yaml:5: log_level: unknown log level" },
    { "data_folder: data\n", "", "s.yaml:1: the key 'data_folder' is missing" },
    { "data_folder: data", "data_folder: \"\"", "s.yaml:7: data_folder: must not be empty" },
    { "http: 127.0.0.1:8080", "http: 127.0.0.1", "s.yaml:6: http: '127.0.0.1' is no address and port" },
    { "http: 127.0.0.1:8080", "http: 127.0.0.1:0", "s.yaml:6: http: '127.0.0.1:0' is no address and port" },
    { "http: 127.0.0.1:8080", "http: \"[::1]:7100\"",
        "s.yaml:11: balancer.peer: [::1]:7100 is used twice, first in "
        "http" },
    { "packet: 127.0.0.1:7000", "packet: 127.0.0.1:7001",
        "s.yaml:10: balancer.relay: 127.0.0.1:7001 is used twice, "
        "first in balancer.packet" },
    { "host_id: 2, zone", "host_id: 1, zone", "s.yaml:18: entry_hosts[1].host_id: host 1 is listed twice" },
    { "host_id: 1, zone: north, peer", "host_id: 3, zone: north, peer",
        "s.yaml:16: entry_hosts: this host (1) is not "
        "listed" },
    { "peer: \"[::1]:7100\", relay", "peer: \"[::1]:7101\", relay",
        "s.yaml:17: entry_hosts[0]: differs from this "
        "host's zone or sockets" },
    { "127.0.0.2:7001", "127.0.0.1:7001",
        "s.yaml:18: entry_hosts[1].relay: 127.0.0.1:7001 is used twice, first in "
        "entry_hosts[0].relay" },
    { "\"127.0.0.1:7201\"}", "\"127.0.0.1:7202\"}", "s.yaml:20: control_members[0]: differs from this host's" },
    { "  - {host_id: 1, peer: \"127.0.0.1:7200\", distribution: \"127.0.0.1:7201\"}\n", "",
        "s.yaml:19: "
        "control_members: 1 to 11" },
    { "{host_id: 1, peer", "{id: 1, peer", "s.yaml:20: control_members[0].id: unknown key" },
};

// Guards against a daemon that starts with an invalid settings file, or refuses it without the location of the error.
BOOST_DATA_TEST_CASE(invalid_settings_are_refused_with_file_line_and_key, refusals, row)
{
    std::string text = settingsYaml;
    size_t const position = text.find(row.replaced);
    BOOST_REQUIRE(position != std::string::npos);
    auto const result = daemon_settings::read(text.replace(position, row.replaced.size(), row.replacement), "s.yaml");
    BOOST_REQUIRE(!result.ok());
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
    BOOST_TEST(messageOf(result.status()).starts_with(row.message), messageOf(result.status()));
}

BOOST_AUTO_TEST_CASE(settings_are_read_completely)
{
    auto const settings = daemon_settings::read(settingsYaml, "s.yaml");
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
    BOOST_TEST(settings->deployment == "demo");
    BOOST_CHECK(settings->host == host_id { 1 });
    BOOST_CHECK(settings->logLevel == log_severity::Warning);
    BOOST_TEST(settings->dataFolder == "data");
    BOOST_REQUIRE(settings->balancer && settings->control);
    BOOST_TEST(settings->balancer->peer.toText() == "[::1]:7100");
    BOOST_TEST(settings->control->distribution.toText() == "127.0.0.1:7201");
    BOOST_TEST(settings->entryHosts.size() == 2U);
    BOOST_TEST(settings->controlMembers.size() == 1U);
}

struct deployment_row {
    std::string name;
    size_t entryHosts;
    size_t controlHosts;
    size_t zones;
    std::vector<std::string> services;
    std::vector<std::string> files;
};

std::ostream& operator<<(std::ostream& stream, deployment_row const& row) { return stream << row.name; }

deployment_row const deployments[] = {
    { "flessenpost", 4, 3, 3, { "orders", "gallery" },
        { "entry-1", "entry-2", "entry-3", "entry-4", "control-1", "control-2", "control-3" } },
    { "derwent", 5, 3, 4, { "bookings", "packs" },
        { "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "control-1", "control-2", "control-3" } },
    { "demo", 3, 3, 3, { "orders", "gallery" }, { "host-1", "host-2", "host-3" } },
};

// Guards against example files that the daemon refuses or that are inconsistent with each other.
BOOST_DATA_TEST_CASE(example_deployment_is_valid, deployments, row)
{
    auto const shared = readConfigurationFile(settingsFolder + row.name + "/configuration.yaml");
    BOOST_REQUIRE_MESSAGE(shared.ok(), shared.status().ToString());
    BOOST_TEST(shared->zones().size() == row.zones);
    for (auto const& service : row.services)
        BOOST_TEST(shared->findService(service) != nullptr);
    std::set<uint64_t> seeds;
    for (auto const& file : row.files) {
        auto const settings = daemon_settings::readFile(settingsFolder + row.name + "/" + file + ".yaml");
        BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
        BOOST_TEST(settings->controlMembers.size() == row.controlHosts);
        BOOST_TEST((!settings->balancer || settings->entryHosts.size() == row.entryHosts));
        BOOST_TEST(shared->findZone(settings->zone) != nullptr);
        seeds.insert(settings->hashSeed());
    }
    BOOST_TEST(seeds.size() == 1U);
}

} // namespace
