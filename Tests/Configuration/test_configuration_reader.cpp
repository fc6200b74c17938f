#include "configuration_samples.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_writer.h>
#include <Configuration/document_parser.h>
#include <Configuration/document_writer.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

struct refusal_row {
    std::string replaced;
    std::string replacement;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, refusal_row const& row) { return stream << row.message; }

// Each row replaces one text of the sample; the error message must name file, line and key.
refusal_row const refusals[] = {
    { "defaults:", "default:", "f.yaml:1: default: unknown key; did you mean 'defaults'?" },
    { "flow_idle_timeout", "flow_idle_timout",
        "f.yaml:2: defaults.flow_idle_timout: unknown key; did you mean "
        "'flow_idle_timeout'?" },
    { "15m", "15",
        "f.yaml:2: defaults.flow_idle_timeout: '15' is not a duration: the unit is missing (ns, us, ms, s, m "
        "or h)" },
    { "15m", "15 m",
        "f.yaml:2: defaults.flow_idle_timeout: '15 m' is not a duration: the unit must be ns, us, ms, s, m "
        "or h" },
    { "15m", "-1s",
        "f.yaml:2: defaults.flow_idle_timeout: '-1s' is not a duration: expected a whole number and a unit, "
        "such as 3s or 500ms" },
    { "15m", "2000h", "f.yaml:2: defaults.flow_idle_timeout: '2000h' is not a duration: the longest is 1000h" },
    { "15m", "500ms", "f.yaml:2: defaults.flow_idle_timeout: 500ms is out of range; allowed: 1s to 86400s" },
    { "peer_lease: 1500ms", "peer_lease: 3s", "f.yaml:1: defaults: peer_lease must be less than peer_loss_timeout" },
    { "peer_lease: 1500ms", "bucket_count: 5000", "f.yaml:1: defaults: bucket_count must be a power of two" },
    { "peer_lease: 1500ms", "drain: true", "f.yaml:3: defaults.drain: unknown key" },
    { "name: south", "name: north", "f.yaml:7: zones[1].name: the name 'north' is used twice" },
    { "name: south", "name: South", "f.yaml:7: zones[1].name: a name is 1 to 64 characters" },
    { "name: south", "title: south", "f.yaml:7: zones[1].title: unknown key" },
    { "name: gallery", "name: orders", "f.yaml:18: services[1].name: the name 'orders' is used twice" },
    { "    id: 2\n", "    id: 1\n", "f.yaml:19: services[1].id: the id 1 is used twice" },
    { "    id: 2\n", "    id: 0\n", "f.yaml:19: services[1].id: '0' is not allowed; expected a whole number from 1" },
    { "127.0.1.2", "127.0.1.300", "f.yaml:20: services[1].addresses[0]: '127.0.1.300' is not an IPv4 or IPv6 address" },
    { "127.0.1.2", "224.0.0.1", "f.yaml:20: services[1].addresses[0]: 224.0.0.1 is no unicast address" },
    { "\"2001:db8::1\"", "127.0.1.1",
        "f.yaml:11: services[0].addresses[1]: 127.0.1.1:8080 is used twice, first in "
        "services[0]" },
    { "    addresses: [127.0.1.2]\n", "", "f.yaml:18: services[1]: the key 'addresses' is missing" },
    { "[127.0.1.2]", "[]", "f.yaml:20: services[1].addresses: a service has 1 to 64 addresses" },
    { "port: 8080\n    protocol: udp", "port: 70000\n    protocol: udp",
        "f.yaml:21: services[1].port: '70000' is not "
        "allowed; expected a whole number from 1 to "
        "65535" },
    { "protocol: udp", "protocol: sctp",
        "f.yaml:22: services[1].protocol: 'sctp' is not allowed; expected tcp or udp" },
    { "connection_limit: 2000", "connection_limit: 0", "f.yaml:14: services[0].connection_limit: 0 is out of range" },
    { "cold_start_seconds", "bucket_count", "f.yaml:16: services[0].overrides.bucket_count: unknown key" },
    { "0.25", "nan", "f.yaml:17: services[0].overrides.ejection_failure_ratio: nan is out of range" },
    { "service/gallery", "service/galery",
        "f.yaml:24: exceptions[0].target: there is no service 'galery'; did you "
        "mean 'gallery'?" },
    { "service/gallery", "gallery", "f.yaml:24: exceptions[0].target: 'gallery' is no target" },
    { "key: slots\n    value: 3", "key: slot\n    value: 3",
        "f.yaml:25: exceptions[0].key: unknown setting 'slot'; "
        "did you mean 'slots'?" },
    { "key: slots\n    value: 3", "key: drain\n    value: true",
        "f.yaml:25: exceptions[0].key: 'drain' cannot be set "
        "for this target" },
    { "value: 3", "value: 3000", "f.yaml:26: exceptions[0].value: 3000 is out of range; allowed: 1 to 1024" },
    { "    reason: one host has more cores\n", "", "f.yaml:29: exceptions[1]: the key 'reason' is missing" },
    { "reason: one host has more cores", "reason: \"  \"", "f.yaml:32: exceptions[1].reason: must not be empty" },
    { "reason: one host has more cores", "reason:", "f.yaml:32: exceptions[1].reason: expected a value" },
    { "server/127.0.2.1:6080", "server/127.0.2.1",
        "f.yaml:29: exceptions[1].target: '127.0.2.1' is no address and "
        "port" },
    { "zones:", "defaults: {}\nzones:", "f.yaml:4: defaults: the key is given twice" },
    { "zones:", "zones: 5\nservices: []\nexceptions: []\n---\n", "f.yaml:1: the text contains more than one document" },
    { "name: south", "name: &anchor south", "f.yaml:7: anchors are not allowed" },
    { "name: south", "name: !!str south", "f.yaml:7: tags are not allowed" },
    { "name: south", "name: \x04 south", "f.yaml:7: invalid UTF-8 or a control character" },
    { "name: south", "name: \xc3\x28", "f.yaml:7: invalid UTF-8 or a control character" },
    { "[127.0.1.2]", "[127.0.1.2", "f.yaml:" },
};

std::string changedSample(std::string const& replaced, std::string const& replacement)
{
    std::string text = sampleYaml;
    size_t const position = text.find(replaced);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, replaced.size(), replacement);
}

// Guards against an invalid configuration that is accepted, or refused without the location of the error.
BOOST_DATA_TEST_CASE(invalid_configuration_is_refused_with_file_line_and_key, refusals, row)
{
    auto const result = configuration_reader("f.yaml").read(changedSample(row.replaced, row.replacement));
    BOOST_REQUIRE(!result.ok());
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
    BOOST_TEST(messageOf(result.status()).starts_with(row.message), messageOf(result.status()));
}

// Guards against a writer that loses or changes a value: control hosts distribute the written form.
BOOST_AUTO_TEST_CASE(written_configuration_reads_as_equal)
{
    auto const value = sampleConfiguration();
    auto const written = writeConfiguration(value);
    auto const again = configuration_reader("again").read(written);
    BOOST_REQUIRE_MESSAGE(again.ok(), messageOf(again.status()) + "\n" + written);
    BOOST_TEST((*again == value));
    BOOST_TEST(writeConfiguration(*again) == written);
    auto const fromJson = configuration_reader("json").read(writeJson(toDocument(value)));
    BOOST_REQUIRE(fromJson.ok());
    BOOST_TEST((*fromJson == value));
}

char const* const scalars[] = { "", " ", "true", "null", "~", "12", "1e5", "-1", "a: b", "a #b", "'", "\"", "\\", "\t",
    "line\nbreak", "caf\xc3\xa9", "[x]", "{", "- a", "?", "@", "%", "::1", "yes", "0123", ".5" };

// Guards against text that a YAML parser reads as another type or as syntax.
BOOST_DATA_TEST_CASE(text_scalar_round_trips_through_yaml_and_json, scalars, scalar)
{
    auto const value = document::map({ { scalar, document::list({ document::text(scalar), document() }) },
        { "other", document::map({ { "x", document::list({ document::list({ document::text(scalar) }) }) } }) } });
    for (auto const& text : { writeYaml(value), writeJson(value) }) {
        auto const again = parseDocument(text, "text");
        BOOST_REQUIRE_MESSAGE(again.ok(), messageOf(again.status()) + "\n" + text);
        BOOST_TEST((*again == value), text);
    }
}

// Guards against defaults, overrides and exceptions that are applied in the wrong order of precedence.
BOOST_AUTO_TEST_CASE(exceptions_override_services_and_defaults)
{
    auto const value = sampleConfiguration();
    auto const& orders = *value.findService("orders");
    auto const& gallery = *value.findService("gallery");
    auto const server = endpoint::parse("127.0.2.1:6080").value();
    BOOST_TEST(value.settingsOf(orders).slots == 2U);
    BOOST_TEST(value.settingsOf(orders).coldStartSeconds == 20U);
    BOOST_TEST(value.settingsOf(gallery).slots == 3U);
    BOOST_TEST(value.settingsOf(gallery).coldStartSeconds == 10U);
    BOOST_TEST(value.settingsOf(gallery, server).slots == 5U);
    BOOST_TEST(value.settingsOf(gallery, endpoint::parse("127.0.2.1:6081").value()).slots == 3U);
    BOOST_TEST((value.settingsOf(orders).flowIdleTimeout == std::chrono::minutes(15)));
    BOOST_TEST((value.findService(orders.addresses[1], 8080, ip_protocol::Tcp) == &orders));
    BOOST_TEST((value.findService(orders.addresses[1], 8080, ip_protocol::Udp) == nullptr));
}

} // namespace
