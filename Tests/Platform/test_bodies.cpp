#include <Base/error_kind.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <platform/announcement_body.h>
#include <platform/boot_settings.h>
#include <platform/configuration_body.h>

using namespace bilberryyard;
using namespace bilberryyard::platform;

namespace {

std::string const heartbeat = R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"hobart-a","Version":"v1",)"
                              R"("Slots":3,"State":"ready","ColdLeftMs":250,"Seq":4,"born":1785320285162})";

std::string replaced(std::string text, std::string const& from, std::string const& to)
{
    auto const position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

BOOST_AUTO_TEST_CASE(heartbeat_is_decoded)
{
    auto const result = readHeartbeat("i-7f3a91c2", heartbeat);
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(result->tag == 0x7f3a91c2u);
    BOOST_TEST(result->service == "huvo11a");
    BOOST_TEST(result->address.toText() == "10.128.0.9:8080");
    BOOST_TEST(result->slots == 3u);
    BOOST_CHECK(result->state == backend_state::Ready);
    BOOST_CHECK(result->remainingWarmUp == std::chrono::milliseconds(250));
    BOOST_TEST(result->sequence == 4u);
    BOOST_TEST(result->startedAtMs == 1785320285162);
}

struct body_row {
    char const* name;
    char const* from;
    char const* to;
};
std::ostream& operator<<(std::ostream& stream, body_row const& row) { return stream << row.name; }

body_row const heartbeatRows[] = {
    { "no service", R"("Service":"huvo11a",)", "" },
    { "service of another type", R"("huvo11a")", "7" },
    { "empty service", R"("huvo11a")", R"("")" },
    { "address without a port", "10.128.0.9:8080", "10.128.0.9" },
    { "unknown state", R"("ready")", R"("warming")" },
    { "number as text", R"("Seq":4)", R"("Seq":"4")" },
    { "negative number", R"("Seq":4)", R"("Seq":-4)" },
    { "fraction", R"("Slots":3)", R"("Slots":2.5)" },
    { "no slots", R"("Slots":3)", R"("Slots":0)" },
    { "start time of another type", "1785320285162", R"("yesterday")" },
    { "number with an exponent out of range", R"("Seq":4)", R"("Seq":1e999)" },
    { "number with more than 64 bits", R"("Seq":4)", R"("Seq":99999999999999999999999)" },
    { "number that is not exact in every implementation", R"("Seq":4)", R"("Seq":9007199254740992)" },
    { "start time out of range", "1785320285162", "18446744073709551615" },
    { "negative start time", "1785320285162", "-1" },
    { "port out of range", ":8080", ":70000" },
    { "negative port", ":8080", ":-1" },
    { "port with many digits", ":8080", ":99999999999999999999" },
    { "truncated", R"(,"born":1785320285162})", "" },
    { "not an object", heartbeat.c_str(), "[1,2]" },
    { "not UTF-8", heartbeat.c_str(), "\xff\xfe{" },
};

// Guards against a server that is added by a malformed call.
BOOST_DATA_TEST_CASE(malformed_heartbeat_is_rejected, heartbeatRows, row)
{
    auto const result = readHeartbeat("i-7f3a91c2", replaced(heartbeat, row.from, row.to));
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
}

BOOST_AUTO_TEST_CASE(heartbeat_without_a_start_time_is_accepted)
{
    auto const result = readHeartbeat("i-7f3a91c2", replaced(heartbeat, R"(,"born":1785320285162)", ""));
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(result->startedAtMs == 0);
}

std::string const configuration
    = R"({"Version":7,"Routes":[{"Name":"r-1","Hostname":"198.18.0.1","PathPrefix":"/8080/","Kind":"unsafe",)"
      R"("TimeoutMs":2500,"TargetLatencyMs":250,"Priority":1,"Service":"huvo11a","MaxAttempts":2},)"
      R"({"Name":"r-2","Hostname":"198.18.0.1","PathPrefix":"/8443/","Kind":"safe","TimeoutMs":2000,)"
      R"("TargetLatencyMs":200,"Priority":2,"Split":[{"Service":"huvo11a","Weight":90},)"
      R"({"Service":"wuno96b","Weight":10}],"MaxAttempts":2}],)"
      R"("Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false},)"
      R"({"Name":"wuno96b","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000}})";

BOOST_AUTO_TEST_CASE(valid_configuration_is_decoded)
{
    auto const table = readConfiguration(configuration);
    BOOST_REQUIRE(table.ok());
    BOOST_TEST(table->version == 7u);
    BOOST_TEST(table->services.size() == 2u);
    BOOST_CHECK(table->idleTimeout == std::chrono::milliseconds(15'000));
    auto const& singleServiceRoute = table->routes.at({ ip_address::fromIpv4(0xc6120001), 8'080 });
    BOOST_CHECK(singleServiceRoute.kind == request_kind::NonIdempotent);
    BOOST_CHECK(singleServiceRoute.timeout == std::chrono::milliseconds(2'500));
    auto const& splitRoute = table->routes.at({ ip_address::fromIpv4(0xc6120001), 8'443 });
    BOOST_REQUIRE(splitRoute.services.size() == 2u);
    BOOST_TEST(splitRoute.services[0].weight == 90u);
    BOOST_TEST(splitRoute.services[1].service == 1u);
}

struct warm_up_row {
    char const* name;
    char const* fields;
    duration coldDuration;
    double requestsPerSecond;
    /// Empty if the configuration is valid.
    char const* error;
};
std::ostream& operator<<(std::ostream& stream, warm_up_row const& row) { return stream << row.name; }

constexpr char const* durationError = "ColdStartS of service \"huvo11a\" is not a number of at least 0";
constexpr char const* rateError = "ColdPerS of service \"huvo11a\" is not a number of at least 0";

warm_up_row const warmUpRows[] = {
    { "absent", "", {}, 0, "" },
    { "no limit", R"("ColdStartS":8,"ColdPerS":0.0,)", std::chrono::seconds(8), 0, "" },
    { "a limit", R"("ColdStartS":7.5,"ColdPerS":2.5,)", std::chrono::milliseconds(7'500), 2.5, "" },
    { "a limit without a duration", R"("ColdPerS":3,)", {}, 3, "" },
    { "an endless warm-up", R"("ColdStartS":1e300,"ColdPerS":3,)", std::chrono::hours(24), 3, "" },
    { "negative limit", R"("ColdPerS":-1,)", {}, 0, rateError },
    { "limit of another type", R"("ColdPerS":"2",)", {}, 0, rateError },
    { "negative duration", R"("ColdStartS":-0.5,)", {}, 0, durationError },
    { "duration of another type", R"("ColdStartS":[8],)", {}, 0, durationError },
};

// Guards against a limit that is misread, so that servers get too many requests during their warm-up or none.
BOOST_DATA_TEST_CASE(warm_up_limits_are_decoded, warmUpRows, row)
{
    auto const table = readConfiguration(
        replaced(configuration, R"("Name":"huvo11a",)", R"("Name":"huvo11a",)" + std::string(row.fields)));
    BOOST_REQUIRE(table.ok() == std::string(row.error).empty());
    if (!table.ok()) {
        BOOST_CHECK(errorKindOf(table.status()) == error_kind::InvalidArgument);
        BOOST_TEST(messageOf(table.status()) == row.error);
        return;
    }
    BOOST_CHECK(table->services[0].coldDuration == row.coldDuration);
    BOOST_TEST(table->services[0].coldRequestsPerSecond == row.requestsPerSecond);
    BOOST_TEST(table->services[1].coldRequestsPerSecond == 0);
}

struct kind_row {
    char const* name;
    request_kind kind;
};
std::ostream& operator<<(std::ostream& stream, kind_row const& row) { return stream << row.name; }

kind_row const kindRows[] = {
    { "safe", request_kind::Idempotent },
    { "unsafe", request_kind::NonIdempotent },
    { "download", request_kind::Download },
    { "upload", request_kind::Upload },
};

// Guards against a kind of requests for which a whole configuration is refused.
BOOST_DATA_TEST_CASE(request_kinds_are_decoded, kindRows, row)
{
    auto const text = replaced(configuration, R"("Kind":"unsafe")", R"("Kind":")" + std::string(row.name) + '"');
    auto const table = readConfiguration(text);
    BOOST_REQUIRE(table.ok());
    BOOST_CHECK(table->routes.at({ ip_address::fromIpv4(0xc6120001), 8'080 }).kind == row.kind);
}

// Guards against a large number that wraps around: a limit that is as good as none then takes effect at once.
BOOST_AUTO_TEST_CASE(numbers_of_a_configuration_do_not_wrap_around)
{
    auto text = replaced(configuration, R"("IdleTimeoutMs":15000)", R"("IdleTimeoutMs":18446744073709551615)");
    text = replaced(text, R"("Priority":1)", R"("Priority":4294967296)");
    text = replaced(text, R"("TimeoutMs":2500)", R"("TimeoutMs":9223372036854775807)");
    text = replaced(text, R"("Weight":90)", R"("Weight":18446744073709551606)");
    text = replaced(text, R"("MaxConns":2000)", R"("MaxConns":4294967297)");
    auto const table = readConfiguration(text);
    BOOST_REQUIRE(table.ok());
    auto const largest = std::chrono::milliseconds(UINT32_MAX);
    BOOST_CHECK(table->idleTimeout == largest);
    auto const& route = table->routes.at({ ip_address::fromIpv4(0xc6120001), 8'080 });
    BOOST_TEST(route.priority == UINT32_MAX);
    BOOST_CHECK(route.timeout == largest);
    BOOST_TEST(table->services[0].maximumConnections == UINT32_MAX);
    auto const& split = table->routes.at({ ip_address::fromIpv4(0xc6120001), 8'443 });
    BOOST_TEST(split.services[0].weight == UINT32_MAX);
}

std::string nested(std::string const& opening, std::string const& value, std::string const& closing, int depth)
{
    std::string result;
    for (int level = 0; level < depth; ++level)
        result += opening;
    result += value;
    for (int level = 0; level < depth; ++level)
        result += closing;
    return result;
}

struct nesting_row {
    char const* name;
    std::string value;
};
std::ostream& operator<<(std::ostream& stream, nesting_row const& row) { return stream << row.name; }

nesting_row const nestingRows[] = {
    { "arrays", nested("[", "", "]", 60) },
    { "objects", nested(R"({"a":)", "1", "}", 60) },
    { "wide array", "[" + nested("[],", "", "", 100'000) + "1]" },
    { "brackets in a string", "\"" + nested("[\\\"{", "", "", 1'000) + "\"" },
};

// Guards against an unknown field of another writer that takes many times the memory of its text.
BOOST_DATA_TEST_CASE(nested_values_of_unknown_fields_are_ignored, nestingRows, row)
{
    auto const announcement = readHeartbeat("i-1", replaced(heartbeat, "{", R"({"Extra":)" + row.value + ","));
    BOOST_REQUIRE(announcement.ok());
    BOOST_TEST(announcement->sequence == 4u);
    BOOST_TEST(readLeave("i-1", R"({"Extra":)" + row.value + "}").ok());
    BOOST_TEST(readConfiguration(replaced(configuration, "{", R"({"Extra":)" + row.value + ",")).ok());
}

nesting_row const deepRows[] = {
    { "arrays", nested("[", "", "]", 100'000) },
    { "objects", nested(R"({"a":)", "1", "}", 100'000) },
    { "unclosed arrays", nested("[", "", "", 100'000) },
};

// Guards against a parser that keeps state for each of many levels.
BOOST_DATA_TEST_CASE(deeply_nested_bodies_are_rejected, deepRows, row)
{
    auto const extra = R"({"Extra":)" + row.value + ",";
    BOOST_CHECK(
        errorKindOf(readHeartbeat("i-1", replaced(heartbeat, "{", extra)).status()) == error_kind::InvalidArgument);
    BOOST_CHECK(
        errorKindOf(readLeave("i-1", R"({"Extra":)" + row.value + "}").status()) == error_kind::InvalidArgument);
    BOOST_CHECK(
        errorKindOf(readConfiguration(replaced(configuration, "{", extra)).status()) == error_kind::InvalidArgument);
}

body_row const configurationRows[] = {
    { "no version", R"("Version":7,)", "" },
    { "version 0", R"("Version":7)", R"("Version":0)" },
    { "version as text", R"("Version":7)", R"("Version":"7")" },
    { "unknown service", R"("Service":"huvo11a","MaxAttempts")", R"("Service":"nobody","MaxAttempts")" },
    { "no service", R"("Service":"huvo11a","MaxAttempts")", R"("MaxAttempts")" },
    { "same address and port twice", "/8443/", "/8080/" },
    { "timeout 0", R"("TimeoutMs":2500)", R"("TimeoutMs":0)" },
    { "no timeout", R"("TimeoutMs":2500,)", "" },
    { "unknown kind", R"("unsafe")", R"("wild")" },
    { "no address", R"("198.18.0.1","PathPrefix":"/8443/")", R"("example","PathPrefix":"/8443/")" },
    { "no port", "/8443/", "/" },
    { "port out of range", "/8443/", "/70000/" },
    { "unknown service in a split", R"({"Service":"wuno96b")", R"({"Service":"nobody")" },
    { "all weights 0", R"("Weight":90},{"Service":"wuno96b","Weight":10})", R"("Weight":0})" },
    { "service twice", R"({"Name":"wuno96b")", R"({"Name":"huvo11a")" },
    { "routes of another type", R"("Routes":[)", R"("Routes":3,"Other":[)" },
    { "truncated", R"("Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000}})", "" },
};

// Guards against an invalid configuration that is accepted.
BOOST_DATA_TEST_CASE(invalid_configuration_is_rejected, configurationRows, row)
{
    auto const table = readConfiguration(replaced(configuration, row.from, row.to));
    BOOST_CHECK(errorKindOf(table.status()) == error_kind::InvalidArgument);
}

std::string const settingsText = R"(
Node = "core-a-1"
Serves = ["control"]
Ip = "10.1.0.12"
Zone = "a"
PeerPortRange = [7720,7735]
Seeds = ["10.1.0.12:8166","10.2.0.41:8166"]
Bootstrap = true
DataDir = "/data/control"
HeartbeatMs = 770
Unknown = "ignored"
[Listen]
Control = "10.1.0.12:8166"
[Limits]
LinkMbps = 5.3
[FaultTolerance]
Machines = 2
[Bounds]
GraceS = 6
)";

BOOST_AUTO_TEST_CASE(valid_settings_are_decoded)
{
    auto const settings = readBootSettings(settingsText);
    BOOST_REQUIRE(settings.ok());
    BOOST_CHECK(settings->role == host_role::Control);
    BOOST_CHECK(settings->bootstrap == bootstrap_permission::Granted);
    BOOST_TEST(settings->toleratedLosses == 2u);
    BOOST_TEST(settings->peerPort == 7'720);
    BOOST_TEST(settings->seeds.size() == 2u);
    BOOST_CHECK(settings->announcementInterval == std::chrono::milliseconds(770));
    BOOST_TEST(settings->linkBytesPerSecond == 662'500U);
}

// Hosts without a stated rate are served without a limit, as before.
BOOST_AUTO_TEST_CASE(link_rate_is_optional)
{
    auto const settings = readBootSettings(replaced(settingsText, "LinkMbps = 5.3", ""));
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST(settings->linkBytesPerSecond == 0U);
}

struct bounds_row {
    char const* name;
    char const* text;
    double excess;
    double slack;
};
std::ostream& operator<<(std::ostream& stream, bounds_row const& row) { return stream << row.name; }

bounds_row const boundsRows[] = {
    { "absent", "", 1, 0 },
    { "both", "ColdExcess = 1.5\nColdSlack = 5\n", 1.5, 5 },
    { "whole and fractional numbers", "ColdExcess = 2\nColdSlack = 0.5\n", 2, 0.5 },
};

// Guards against a limit of servers that warm up which is too high because its bounds are not read.
BOOST_DATA_TEST_CASE(bounds_of_warm_ups_are_decoded, boundsRows, row)
{
    auto const settings
        = readBootSettings(replaced(settingsText, "GraceS = 6\n", "GraceS = 6\n" + std::string(row.text)));
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST(settings->coldRequestExcess == row.excess);
    BOOST_TEST(settings->coldRequestSlack == row.slack);
}

body_row const settingsRows[] = {
    { "negative bound of warm-ups", "GraceS = 6", "ColdExcess = -1.5" },
    { "bound of warm-ups as text", "GraceS = 6", "ColdSlack = \"5\"" },
    { "no name", "Node = \"core-a-1\"", "" },
    { "no address", "Ip = \"10.1.0.12\"", "" },
    { "bad address", "10.1.0.12\"\nZone", "ten\"\nZone" },
    { "no peer port", "PeerPortRange = [7720,7735]", "" },
    { "no seeds", "Seeds", "Sides" },
    { "bad seed", "10.2.0.41:8166", "10.2.0.41" },
    { "no listener", "[Listen]", "[Silent]" },
    { "no data folder", "DataDir", "DataTent" },
    { "interval out of range", "770", "0" },
    { "link rate 0", "5.3", "0" },
    { "negative link rate", "5.3", "-5.3" },
    { "link rate that is not a number", "5.3", "\"5.3\"" },
    { "link rate nan", "5.3", "nan" },
    { "link rate out of range", "5.3", "1e7" },
    { "not TOML", "Node = ", "Node = = " },
    { "no key in a table's header", "[Listen]", "[))" },
    { "bytes that are not ASCII", "Unknown", "\xc3\xbcnknown" },
    { "bytes that are not UTF-8", "ignored", "\xfcgnored" },
};

body_row const textRows[] = {
    { "value of an unknown field", "\"ignored\"", "\"Li\xc3\xa8ge \xf0\x9f\x8d\xbe\"" },
    { "unknown field with a quoted name", "Unknown",
        "\"Gr\xc3\xb6\xc3\x9f"
        "e\"" },
    { "comment", "Unknown", "# f\xc3\xbcr\nUnknown" },
    { "comment at the end of a line", "\"ignored\"", "1 # f\xc3\xbcr" },
    { "zone", "Zone = \"a\"", "Zone = \"Li\xc3\xa8ge\"" },
};

// Guards against a new field or a comment in UTF-8 that keeps every process from starting.
BOOST_DATA_TEST_CASE(settings_in_utf8_are_decoded, textRows, row)
{
    auto const settings = readBootSettings(replaced(settingsText, row.from, row.to));
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
    BOOST_TEST(settings->zone == (row.name == std::string("zone") ? "Li\xc3\xa8ge" : "a"));
}

struct variable_row {
    char const* value;
    std::optional<int64_t> microseconds;
};
std::ostream& operator<<(std::ostream& stream, variable_row const& row) { return stream << row.value; }

variable_row const variableRows[] = {
    { "0", 0 },
    { "1000000", 1'000'000 },
    { "1000001", std::nullopt },
    { "-1", std::nullopt },
    { "0.5", std::nullopt },
    { "", std::nullopt },
    { "nan", std::nullopt },
};

// Guards against a cost of bytes between zones that is taken as another one than the operator wrote.
BOOST_DATA_TEST_CASE(the_cost_of_bytes_between_zones_is_checked, variableRows, row)
{
    fleet_settings settings;
    setenv(zoneTransferCostVariable, row.value, 1);
    auto const status = applyEnvironment(settings);
    unsetenv(zoneTransferCostVariable);
    BOOST_TEST(status.ok() == row.microseconds.has_value());
    if (row.microseconds)
        BOOST_CHECK(settings.zoneTransferCostPerKilobyte == std::chrono::microseconds(*row.microseconds));
}

// Guards against a process that starts with invalid settings.
BOOST_DATA_TEST_CASE(invalid_settings_are_rejected, settingsRows, row)
{
    auto const settings = readBootSettings(replaced(settingsText, row.from, row.to));
    BOOST_CHECK(errorKindOf(settings.status()) == error_kind::InvalidArgument);
}

} // namespace
