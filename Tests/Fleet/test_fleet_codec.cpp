#include <Base/error_kind.h>
#include <Fleet/fleet_codec.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

using std::chrono::milliseconds;

fleet_host const host { { ip_address::fromIpv4(0x0a010001), 7'720 }, host_role::Control, "a", "core-a-1", 8'166,
    milliseconds(40) };

aged_announcement sampleRecord()
{
    backend_announcement announcement { "i-7f3a", 0x7f3a, "orders", { ip_address::fromIpv4(0x0a800009), 8'080 }, "a",
        "v1", 3, backend_state::Draining, 1785320285162, 900, milliseconds(250) };
    return { announcement, milliseconds(1'500) };
}

route_table sampleRoutes()
{
    route_table table;
    table.version = 7;
    table.services = { { "orders", 2'000 }, { "gallery", 0 } };
    table.routes[{ ip_address::fromIpv4(0xc6120001), 443 }]
        = { request_kind::NonIdempotent, milliseconds(250), milliseconds(2'500), 1, { { 0, 90 }, { 1, 10 } } };
    table.routes[{ ip_address::fromIpv4(0xc6120001), 8'443 }]
        = { request_kind::Upload, milliseconds(800), milliseconds(10'000), 2, { { 1, 1 } } };
    table.idleTimeout = milliseconds(12'000);
    return table;
}

directory_page samplePage()
{
    directory_page page;
    page.scope = server_scope::All;
    page.positions = { { host.peer, 99, 12 }, { host.peer, 0, 0 } };
    page.records = { { sampleRecord(), true, 1 }, { sampleRecord(), false, 0 } };
    page.cursor = { page_cursor::pass::OwnZone, "i-7000" };
    page.next = { page_cursor::pass::OtherZones, "i-7f3a" };
    page.isLast = true;
    return page;
}

route_table limitedRoutes()
{
    auto table = sampleRoutes();
    table.services[0].coldDuration = milliseconds(8'000);
    table.services[0].coldRequestsPerSecond = 2.5;
    return table;
}

struct message_row {
    char const* name;
    fleet_message message;
};
std::ostream& operator<<(std::ostream& stream, message_row const& row) { return stream << row.name; }

message_row const messageRows[] = {
    { "hello", hello_message { host, 7, 99, 12, host_list::NotRequested, server_scope::Own } },
    { "hello that requests hosts and servers",
        hello_message { host, 7, 99, 12, host_list::Requested, server_scope::All } },
    { "hello response", hello_response { { host, host }, 7, milliseconds(9'000), true } },
    { "directory update", directory_update { 99, 3, 12, { sampleRecord() }, { 1, 0xffffffff } } },
    { "lease with late servers",
        directory_update {
            99, 12, 14, {}, { 7 }, server_scope::Own, { { 3, milliseconds(1'500) } }, lease_renewal::Yes } },
    { "renewals with digests",
        directory_update { 99, 12, 14, {}, { 7, 8 }, server_scope::Own, {}, lease_renewal::Yes, { 0xffffffff, 5 } } },
    { "directory request",
        directory_request {
            server_scope::All, "a", 99, 12, { page_cursor::pass::OtherZones, "i-7f3a" }, known_records::Omitted } },
    { "directory page", samplePage() },
    { "age request", age_request { { 1, 0xffffffff } } },
    { "age response", age_response { { { 1, milliseconds(40) }, { 0xffffffff, milliseconds(0) } } } },
    { "hello that requests routes",
        hello_message { host, 7, 99, 12, host_list::NotRequested, server_scope::Own, route_request::Requested } },
    { "route difference", route_difference { 5, sampleRoutes(), { { ip_address::fromIpv4(0xc6120002), 80 } } } },
    { "routes", sampleRoutes() },
    { "routes with a warm-up limit", limitedRoutes() },
    { "request for grants", warm_up_request { 9, { { 1, 3, 0 }, { 0xffffffff, 0, 2 } } } },
    { "grants", warm_up_grants { 9, { { 1, 2, milliseconds(8'000) }, { 0xffffffff, 0, {} } } } },
    { "consensus message", control_envelope { std::string("\0\x01\xff", 3) } },
    { "hello that knows evacuated zones",
        hello_message { host, 7, 99, 12, host_list::NotRequested, server_scope::Own, route_request::NotRequested, 3 } },
    { "hello response that knows evacuated zones", hello_response { { host }, 7, milliseconds(9'000), true, 4 } },
    { "evacuated zones", evacuated_zones { 4, { "a", "b" } } },
    { "failure report", failure_report { { { 1, { 3, 0.5 } }, { 0xffffffff, { 0, 2 } } } } },
    { "failure sums", failure_sums { 82, { { 0xffffffff, { 12.5, 20 } } }, { 1'200, 3.5 } } },
    { "join request", join_request { host, 0x1234567890 } },
};

// Guards against a field that is not encoded or not decoded.
BOOST_DATA_TEST_CASE(message_survives_its_encoding, messageRows, row)
{
    auto const decoded = decodeFleetMessage(encodeFleetMessage(row.message));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == row.message));
}

struct refused_row {
    char const* name;
    std::string bytes;
};
std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }

std::string withUnknownState()
{
    auto update = directory_update { 1, 0, 1, { sampleRecord() }, {} };
    update.records[0].announcement.state = static_cast<backend_state>(9);
    return encodeFleetMessage(update);
}

std::string withUnknownService()
{
    auto table = sampleRoutes();
    table.routes.begin()->second.services[0].service = 5;
    return encodeFleetMessage(table);
}

std::string withUnknownAnnouncer()
{
    auto page = samplePage();
    page.records[0].announcer = 2;
    return encodeFleetMessage(page);
}

std::string withMissingDigest()
{
    return encodeFleetMessage(
        directory_update { 1, 1, 2, {}, { 7, 8 }, server_scope::Own, {}, lease_renewal::Yes, { 5 } });
}

refused_row const refusedRows[] = {
    { "fewer digests than renewed servers", withMissingDigest() },
    { "empty", "" },
    { "not a protobuf message", "\xff\xff\xff" },
    { "truncated", encodeFleetMessage(sampleRoutes()).substr(0, 20) },
    { "unknown state", withUnknownState() },
    { "route to a service that is not in the table", withUnknownService() },
    { "page with a record of an unknown control host", withUnknownAnnouncer() },
};

BOOST_DATA_TEST_CASE(invalid_message_is_rejected, refusedRows, row)
{
    BOOST_CHECK(errorKindOf(decodeFleetMessage(row.bytes).status()) == error_kind::InvalidArgument);
}

aged_announcement recordWithId(std::string const& id)
{
    auto record = sampleRecord();
    record.announcement.id = id;
    return record;
}

struct record_row {
    char const* name;
    std::string id;
};
std::ostream& operator<<(std::ostream& stream, record_row const& row) { return stream << row.name; }

record_row const unusableRows[] = {
    { "bytes that are no text", "\xff\xfe\x30" },
    { "truncated UTF-8", "i-\xc3" },
    { "surrogate", "i-\xed\xa0\x80" },
    { "overlong encoding", "i-\xc0\xaf" },
    { "control character", "i-\n1" },
    { "empty", "" },
};

// Guards against a record of another writer, with an identifier that is no text, that keeps receivers from reading all
// other records of the same message (review case 1).
BOOST_DATA_TEST_CASE(unusable_record_does_not_hide_the_others, unusableRows, row)
{
    directory_update const update { 1, 0, 1, { recordWithId("i-1"), recordWithId(row.id), recordWithId("i-2") }, {} };
    auto const decodedUpdate = decodeFleetMessage(encodeFleetMessage(update));
    BOOST_REQUIRE(decodedUpdate.ok());
    auto const& records = std::get<directory_update>(*decodedUpdate).records;
    BOOST_REQUIRE(records.size() == 2u);
    BOOST_TEST(records[0].announcement.id == "i-1");
    BOOST_TEST(records[1].announcement.id == "i-2");

    auto page = samplePage();
    page.records = { { recordWithId("i-1"), false, 0 }, { recordWithId(row.id), false, 0 } };
    page.next.afterId = row.id;
    auto const decodedPage = decodeFleetMessage(encodeFleetMessage(page));
    BOOST_REQUIRE(decodedPage.ok());
    BOOST_TEST(std::get<directory_page>(*decodedPage).records.size() == 1u);
    // The receiver has to request the page after this one, whatever the sender's cursor holds.
    BOOST_TEST((std::get<directory_page>(*decodedPage).next == page.next));
}

} // namespace
