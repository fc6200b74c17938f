#include "memory_backend.h"

#include <Configuration/document_parser.h>
#include <OperatorInterface/operator_api.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <latch>
#include <thread>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

std::string const services = "services: [{name: orders, addresses: [127.0.1.1], port: 80, protocol: tcp}]";

std::string changeBody(std::string const& id, uint64_t base, std::string const& change)
{
    return "{request_id: " + id + ", base_revision: " + std::to_string(base) + ", author: ana, reason: a reason, "
        + change + "}";
}

std::string replaceBody(std::string const& id, uint64_t base, std::string const& yaml = services)
{
    return changeBody(id, base, "file: c.yaml, configuration: '" + yaml + "'");
}

struct fixture {
    memory_backend backend;
    operator_api<memory_backend> api { backend, fixedTime };
    http_router router;

    fixture() { api.registerAt(router); }

    http_response send(std::string const& method, std::string const& path, std::string const& body = {},
        std::map<std::string, std::string> const& query = {})
    {
        return router.handle({ method, path, query, {}, body });
    }
};

document parsed(http_response const& response)
{
    auto const tree = parseDocument(response.body, "response");
    BOOST_REQUIRE_MESSAGE(tree.ok(), response.body);
    return *tree;
}

std::string member(http_response const& response, std::string const& key)
{
    auto const tree = parsed(response);
    auto const* value = tree.find(key);
    BOOST_REQUIRE_MESSAGE(value, key << " is missing in " << response.body);
    return value->scalar();
}

struct bad_request_row {
    char const* method;
    char const* path;
    std::string body;
    std::map<std::string, std::string> query;
    int status;
    char const* error;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, bad_request_row const& row)
{
    return stream << row.method << " " << row.path << " " << row.message;
}

std::vector<bad_request_row> const badRequests = {
    { "POST", "/v1/changes", "{\"request_id\": ", {}, 400, "invalid_argument", "body:1" },
    { "POST", "/v1/changes", "services: [", {}, 400, "invalid_argument", "body:1" },
    { "POST", "/v1/changes", "", {}, 400, "invalid_argument", "body:1: the key 'request_id' is missing" },
    { "POST", "/v1/changes", "[]", {}, 400, "invalid_argument", "body:1: expected keys" },
    { "POST", "/v1/changes", replaceBody("r", 1, "sevices: []"), {}, 400, "invalid_argument",
        "c.yaml:1: sevices: unknown key; did you mean 'services'?" },
    { "POST", "/v1/changes", replaceBody("'a b'", 1), {}, 400, "invalid_argument", "body:1: request_id: a request id" },
    { "POST", "/v1/changes", changeBody("r", 1, "note: x"), {}, 400, "invalid_argument", "body:1: note: unknown key" },
    { "POST", "/v1/changes", changeBody("r", 1, "configuration: '', remove_exception: {}"), {}, 400, "invalid_argument",
        "body:1: exactly one of" },
    { "POST", "/v1/changes",
        changeBody("r", 1, "add_exception: {target: service/orders, key: slots, value: 3, author: ana}"), {}, 400,
        "invalid_argument", "add_exception:1: the key 'reason' is missing" },
    { "POST", "/v1/changes", "{request_id: r, base_revision: -1}", {}, 400, "invalid_argument",
        "body:1: base_revision: '-1' is not allowed" },
    { "POST", "/v1/changes", replaceBody("r", 1), { { "dryrun", "true" } }, 400, "invalid_argument",
        "query parameter dryrun: unknown; did you mean 'dry_run'?" },
    { "POST", "/v1/changes", replaceBody("r", 1), { { "dry_run", "yes" } }, 400, "invalid_argument",
        "query parameter dry_run" },
    { "PUT", "/v1/changes", replaceBody("r", 1), {}, 405, "invalid_argument", "/v1/changes has no method PUT" },
    { "POST", "/v1/configuration", replaceBody("r", 1), {}, 405, "invalid_argument", "/v1/configuration has no" },
    { "DELETE", "/v1/audit", "", {}, 405, "invalid_argument", "/v1/audit has no method DELETE" },
    { "POST", "/v1/change", replaceBody("r", 1), {}, 404, "not_found", "there is no path /v1/change" },
    { "POST", "/v1/changesx", replaceBody("r", 1), {}, 404, "not_found", "there is no path /v1/changesx" },
    { "GET", "/v1/configuration", "", { { "service", "nothing" } }, 404, "not_found", "there is no service 'nothing'" },
    { "GET", "/v1/configuration", "", { { "server", "127.0.0.1:1" } }, 400, "invalid_argument", "query parameter se" },
    { "GET", "/v1/audit", "", { { "limit", "2000" } }, 400, "invalid_argument", "query parameter limit: expected a" },
    { "POST", "/v1/members", "{request_id: r, author: a, reason: b, host_id: 3, peer: x, distribution: y}", {}, 400,
        "invalid_argument", "body:1: peer: 'x' is no address and port" },
    { "DELETE", "/v1/members/x", "{request_id: r, author: a, reason: b}", {}, 400, "invalid_argument",
        "a host number is" },
    { "DELETE", "/v1/members/3", "{request_id: r, author: a}", {}, 400, "invalid_argument",
        "body:1: the key 'reason' is missing" },
};

// Guards against invalid input that changes the state, reaches the log, or gets a response with the wrong error kind.
BOOST_DATA_TEST_CASE(bad_request_is_refused_and_changes_nothing, badRequests, row)
{
    fixture f;
    BOOST_REQUIRE_EQUAL(f.send("POST", "/v1/changes", replaceBody("first", 0)).status, 200);
    auto const before = f.backend.snapshot();
    auto const response = f.send(row.method, row.path, row.body, row.query);
    BOOST_TEST(response.status == row.status, response.body);
    BOOST_TEST(member(response, "error") == row.error);
    BOOST_TEST(member(response, "message").starts_with(row.message), response.body);
    BOOST_TEST(f.backend.snapshot() == before);
    BOOST_TEST(f.backend.members()->empty());
}

// Guards against a resent request that is executed twice, and against a conflict response without the difference.
BOOST_AUTO_TEST_CASE(change_resend_and_conflict)
{
    fixture f;
    auto const first = f.send("POST", "/v1/changes", replaceBody("a", 0));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(member(first, "revision") == "1");
    auto const again = f.send("POST", "/v1/changes", replaceBody("a", 0));
    BOOST_TEST((again == first));
    BOOST_TEST(f.backend.revision() == 1U);
    auto const conflict = f.send("POST", "/v1/changes", replaceBody("b", 0));
    BOOST_TEST(conflict.status == 409);
    BOOST_TEST(member(conflict, "error") == "conflict");
    auto const tree = parsed(conflict);
    BOOST_REQUIRE(!tree.find("difference")->items().empty());
    BOOST_TEST(tree.find("difference")->items()[0].scalar().starts_with("revision 1 by ana: + services.orders"));
}

// Guards against a dry run that reaches the log, and one whose error kind differs from that of the real change.
BOOST_AUTO_TEST_CASE(dry_run_shows_the_difference_and_changes_nothing)
{
    fixture f;
    f.send("POST", "/v1/changes", replaceBody("a", 0));
    auto const before = f.backend.snapshot();
    std::map<std::string, std::string> const dryRun { { "dry_run", "true" } };
    auto const exception
        = "add_exception: {target: service/orders, key: slots, value: 3, reason: more cores, author: ana}";
    auto const accepted = f.send("POST", "/v1/changes", changeBody("b", 1, exception), dryRun);
    BOOST_TEST(accepted.status == 200);
    auto const tree = parsed(accepted);
    BOOST_REQUIRE_EQUAL(tree.find("difference")->items().size(), 1U);
    BOOST_TEST(tree.find("difference")->items()[0].scalar()
        == "+ exceptions.service/orders.slots: value 3, reason more cores, author ana");
    BOOST_TEST(f.send("POST", "/v1/changes", changeBody("b", 0, exception), dryRun).status == 409);
    BOOST_TEST(f.send("POST", "/v1/changes", changeBody("b", 9, exception), dryRun).status == 412);
    f.backend.setConsistency(read_consistency::Stale);
    BOOST_TEST(f.send("POST", "/v1/changes", changeBody("b", 1, exception), dryRun).status == 503);
    BOOST_TEST(f.backend.snapshot() == before);
}

// Guards against an isolated control host that returns outdated data as current (F4).
BOOST_AUTO_TEST_CASE(stale_reading_is_refused_unless_allowed)
{
    fixture f;
    f.send("POST", "/v1/changes", replaceBody("a", 0));
    f.backend.setConsistency(read_consistency::Stale);
    auto const refused = f.send("GET", "/v1/configuration");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(member(refused, "revision") == "1");
    BOOST_TEST(member(refused, "age") == "1500ms");
    auto const allowed = f.send("GET", "/v1/configuration", "", { { "stale", "allow" } });
    BOOST_TEST(allowed.status == 200);
    BOOST_TEST(member(allowed, "current") == "false");
}

char const* const proposeErrors[] = { "not_leader", "unavailable", "deadline_exceeded" };

// Guards against a proposal with an unknown outcome that is reported as refused by the log.
BOOST_DATA_TEST_CASE(response_to_failed_proposal_has_error_kind_and_request_id, proposeErrors, name)
{
    fixture f;
    auto const kind = errorKindByName(name);
    f.backend.failProposals(kind);
    auto const response = f.send("POST", "/v1/changes", replaceBody("a", 0));
    BOOST_TEST(response.status == presentationFor(*kind).httpStatus);
    BOOST_TEST(member(response, "error") == name);
    BOOST_TEST(member(response, "request_id") == "a");
}

// Guards against proposals that wait for a majority and block every thread, so that health checks fail as well.
BOOST_AUTO_TEST_CASE(waiting_proposals_are_limited)
{
    fixture f;
    std::latch release(1);
    f.backend.holdProposals(&release);
    std::vector<std::thread> threads;
    for (int index = 0; index < 16; ++index)
        threads.emplace_back(
            [&, index] { f.send("POST", "/v1/changes", replaceBody("w" + std::to_string(index), 0)); });
    while (f.backend.startedProposals() < 16)
        std::this_thread::yield();
    auto const refused = f.send("POST", "/v1/changes", replaceBody("late", 0));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(f.send("GET", "/v1/configuration").status == 200);
    release.count_down();
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(f.backend.appliedProposals() == 16);
    BOOST_TEST(f.send("POST", "/v1/changes", replaceBody("late", 1)).status == 200);
}

BOOST_AUTO_TEST_CASE(responses_are_written_in_json_and_yaml)
{
    fixture f;
    f.send("POST", "/v1/changes", replaceBody("a", 0));
    auto const audit = parsed(f.send("GET", "/v1/audit"));
    auto const& entry = audit.find("entries")->items().at(0);
    BOOST_TEST(entry.find("time")->scalar() == "2026-01-31T08:00:00.250Z");
    BOOST_TEST(entry.find("author")->scalar() == "ana");
    BOOST_TEST(entry.find("result")->scalar() == "accepted");
    auto const settings = parsed(f.send("GET", "/v1/configuration", "", { { "service", "orders" } }));
    BOOST_TEST(settings.find("settings")->find("slots")->scalar() == "2");
    auto const yaml = f.router.handle({ "GET", "/v1/status", {}, { { "accept", "application/yaml" } }, "" });
    BOOST_TEST(yaml.contentType == "application/yaml");
    BOOST_TEST(yaml.body.starts_with("hosts:\n  - host_id: 1\n"), yaml.body);
}

// Guards against member changes that are lost or applied to another host.
BOOST_AUTO_TEST_CASE(member_is_added_and_removed)
{
    fixture f;
    std::string const add
        = "{request_id: r, author: a, reason: b, host_id: 3, peer: '127.0.0.1:1', distribution: '127.0.0.1:2'}";
    BOOST_TEST(f.send("POST", "/v1/members", add).status == 200);
    BOOST_TEST(f.send("POST", "/v1/members", add).status == 200);
    BOOST_REQUIRE_EQUAL(f.backend.members()->size(), 1U);
    BOOST_TEST((f.backend.members()->at(0).host == host_id { 3 }));
    BOOST_TEST(f.send("DELETE", "/v1/members/3", "{request_id: s, author: a, reason: b}").status == 200);
    BOOST_TEST(f.backend.members()->empty());
}

} // namespace
