#include "memory_backend.h"

#include <OperatorInterface/balancer_api.h>
#include <OperatorInterface/health_api.h>
#include <OperatorInterface/http_client.h>
#include <OperatorInterface/http_server.h>
#include <arpa/inet.h>
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bilberryyard;
using namespace std::chrono_literals;

namespace {

endpoint const anyPort { ip_address::fromIpv4(INADDR_LOOPBACK), 0 };

http_router echoRouter()
{
    http_router router;
    router.add("/a", [](http_request const& request) {
        http_response response;
        response.body = "a " + request.method + " " + request.path + " " + request.query.at("x") + " "
            + request.header("x-test") + " " + request.body;
        return response;
    });
    router.add("/a/b", [](http_request const&) { return http_response { 200, "text/plain", {}, "b" }; });
    router.add("/throws", [](http_request const&) -> http_response { throw std::runtime_error("broken"); });
    router.add("/size", [](http_request const& request) {
        return http_response { 200, "text/plain", {}, std::to_string(request.body.size()) };
    });
    router.add(
        "/size/small", [](http_request const&) { return http_response {}; }, 1'000);
    return router;
}

std::unique_ptr<http_server> startServer(http_limits const& limits = {})
{
    auto server = http_server::create(anyPort, echoRouter(), limits);
    BOOST_REQUIRE_MESSAGE(server.ok(), server.status().ToString());
    return *std::move(server);
}

http_response exchange(http_server const& server, http_request const& request)
{
    auto const result = exchangeHttp(server.address(), request, 5s);
    BOOST_REQUIRE_MESSAGE(result.response.ok(), result.response.status().ToString());
    return *result.response;
}

// Sends unmodified bytes and returns all bytes of the response.
std::string exchangeRaw(http_server const& server, std::string const& bytes)
{
    int const descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(server.address().port);
    BOOST_REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    BOOST_REQUIRE(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    std::string rawResponse;
    char chunk[4096];
    ssize_t count = 0;
    while ((count = recv(descriptor, chunk, sizeof(chunk), 0)) > 0)
        rawResponse.append(chunk, static_cast<size_t>(count));
    close(descriptor);
    return rawResponse;
}

// Guards against requests that reach the handler of another path or arrive incomplete.
BOOST_AUTO_TEST_CASE(request_reaches_the_handler_of_the_longest_prefix)
{
    auto const server = startServer();
    http_request request { "POST", "/a/c", { { "x", "1 &=\xc3\xa9" } }, { { "X-Test", "value" } }, "body" };
    BOOST_TEST(exchange(*server, request).body == "a POST /a/c 1 &=\xc3\xa9 value body");
    request.path = "/a/b/c";
    BOOST_TEST(exchange(*server, request).body == "b");
    request.path = "/ab";
    BOOST_TEST(exchange(*server, request).status == 404);
    request.path = "/throws";
    auto const failed = exchange(*server, request);
    BOOST_TEST(failed.status == 500);
    BOOST_TEST(failed.body.find("broken") != std::string::npos);
}

// Guards against request bodies that exhaust the memory of a control host.
BOOST_AUTO_TEST_CASE(body_above_the_limit_is_refused)
{
    auto const server = startServer({ 100000, 2s, 2 });
    http_request request { "POST", "/size", {}, {}, std::string(100000, 'x') };
    BOOST_TEST(exchange(*server, request).body == "100000");
    request.body += 'x';
    auto const response = exchange(*server, request);
    BOOST_TEST(response.status == 413);
    BOOST_TEST(response.body.find("resource_exhausted") != std::string::npos);
    std::string chunked = "POST /size HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int index = 0; index < 200; ++index)
        chunked += "400\r\n" + std::string(1024, 'x') + "\r\n";
    BOOST_TEST(exchangeRaw(*server, chunked + "0\r\n\r\n").starts_with("HTTP/1.1 413"));
    request.path = "/size/small/1";
    request.body = std::string(1'000, 'x');
    BOOST_TEST(exchange(*server, request).status == 200);
    request.body += 'x';
    BOOST_TEST(exchange(*server, request).status == 413);
}

struct raw_row {
    char const* name;
    std::string bytes;
    int status;
};

std::ostream& operator<<(std::ostream& stream, raw_row const& row) { return stream << row.name; }

std::vector<raw_row> const rawRequests = {
    { "not HTTP", "nonsense\r\n\r\n", 400 },
    { "incomplete body", "POST /size HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nshort", 408 },
    { "incomplete header", "POST /size HTTP/1.1\r\nHost", 400 },
    { "content length that is not a number", "POST /size HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 411 },
    { "long header", "GET /size HTTP/1.1\r\nHost: a\r\nX: " + std::string(100000, 'x') + "\r\n\r\n", 400 },
    { "unknown version", "GET /size HTTP/7.5\r\nHost: a\r\n\r\n", 505 },
};

// Guards against malformed requests that reach a handler, or that block the only thread forever.
BOOST_DATA_TEST_CASE(malformed_request_is_refused_in_time, rawRequests, row)
{
    static auto const server = startServer({ 1000, 300ms, 1 });
    auto const begin = std::chrono::steady_clock::now();
    auto const rawResponse = exchangeRaw(*server, row.bytes);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 2s));
    BOOST_TEST(rawResponse.starts_with("HTTP/1.1 " + std::to_string(row.status)), rawResponse);
    BOOST_TEST(rawResponse.find("{\"error\":") != std::string::npos, rawResponse);
    BOOST_TEST(exchange(*server, { "POST", "/size", {}, {}, "abc" }).body == "3");
}

// Guards against a client that treats a request as not executed after it lost the connection.
BOOST_AUTO_TEST_CASE(client_distinguishes_refused_connections_from_lost_responses)
{
    endpoint address;
    {
        http_router router;
        router.add("/slow", [](http_request const&) {
            std::this_thread::sleep_for(600ms);
            return http_response {};
        });
        auto const server = http_server::create(anyPort, router).value();
        address = server->address();
        auto const timedOut = exchangeHttp(address, { "GET", "/slow", {}, {}, "" }, 200ms);
        BOOST_REQUIRE(!timedOut.response.ok());
        BOOST_CHECK(errorKindOf(timedOut.response.status()) == error_kind::DeadlineExceeded);
        BOOST_CHECK(timedOut.sent == delivery::Unknown);
    }
    auto const refused = exchangeHttp(address, { "GET", "/slow", {}, {}, "" }, 200ms);
    BOOST_REQUIRE(!refused.response.ok());
    BOOST_CHECK(errorKindOf(refused.response.status()) == error_kind::Unavailable);
    BOOST_CHECK(refused.sent == delivery::NotSent);
}

// Guards against an unreachable host in another partition that uses up the timeout of a command. A listener with a full
// queue drops further connection requests, as a partition does.
BOOST_AUTO_TEST_CASE(unresponsive_host_times_out)
{
    int const listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    BOOST_REQUIRE(listen(listener, 0) == 0);
    BOOST_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    std::vector<int> queuedConnections;
    for (int index = 0; index < 4; ++index) {
        queuedConnections.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(queuedConnections.back(), reinterpret_cast<sockaddr*>(&address), size);
    }
    auto const begin = std::chrono::steady_clock::now();
    endpoint const unresponsive { ip_address::fromIpv4(INADDR_LOOPBACK), ntohs(address.sin_port) };
    auto const result = exchangeHttp(unresponsive, { "GET", "/", {}, {}, "" }, 300ms);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 2s));
    BOOST_REQUIRE(!result.response.ok());
    BOOST_CHECK(errorKindOf(result.response.status()) == error_kind::Unavailable);
    BOOST_CHECK(result.sent == delivery::NotSent);
    for (int const connection : queuedConnections)
        close(connection);
    close(listener);
}

// Guards against a second daemon on the same port that starts without serving anything.
BOOST_AUTO_TEST_CASE(port_in_use_is_reported)
{
    auto const server = startServer();
    auto const second = http_server::create(server->address(), echoRouter());
    BOOST_REQUIRE(!second.ok());
    BOOST_CHECK(errorKindOf(second.status()) == error_kind::Unavailable);
}

// Guards against a server that listens on another address than the configured one without reporting an error, because
// Debian's CivetWeb is built without IPv6.
BOOST_AUTO_TEST_CASE(ipv6_is_served_or_refused_with_a_reason)
{
    auto const server = http_server::create({ ip_address::parse("::1").value(), 0 }, echoRouter());
    if (server.ok()) {
        BOOST_TEST(exchange(**server, { "POST", "/size", {}, {}, "abc" }).body == "3");
    } else {
        BOOST_CHECK(errorKindOf(server.status()) == error_kind::FailedPrecondition);
        BOOST_TEST(messageOf(server.status()).find("built without IPv6") != std::string::npos);
    }
}

struct test_data_plane {
    std::vector<server_row> rows;

    absl::StatusOr<std::vector<document_member>> explain(flow_key const&)
    {
        return std::vector<document_member> { { "server", document::text("s") } };
    }
    absl::Status registerServer(server_registration const& registration)
    {
        if (registration.service != "orders")
            return makeError(error_kind::InvalidArgument, "unknown service");
        rows.push_back({ registration, "leased" });
        return absl::OkStatus();
    }
    std::vector<server_row> servers() { return rows; }
};

struct registration_row {
    std::string body;
    int status;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, registration_row const& row) { return stream << row.message; }

std::string const registration
    = R"({"service": "orders", "address": "127.0.0.1", "port": 6080, "zone": "a", "state": "serving", "slots": 2, )"
      R"("connection_limit": 2000, "busy_slots": 1, "queue": 0, "open_connections": 17, "incarnation": 5})";

std::string changedRegistration(std::string const& replaced, std::string const& replacement)
{
    auto text = registration;
    return text.replace(text.find(replaced), replaced.size(), replacement);
}

std::vector<registration_row> const registrations = {
    { registration, 200, "registered" },
    { changedRegistration("serving", "servin"), 400, "state: unknown state; did you mean 'serving'?" },
    { changedRegistration("\"slots\": 2", "\"slots\": 0"), 400, "slots: '0' is not allowed" },
    { changedRegistration("6080", "0"), 400, "port: '0' is not allowed" },
    { changedRegistration("\"queue\": 0, ", ""), 400, "the key 'queue' is missing" },
    { changedRegistration("\"queue\"", "\"quee\""), 400, "quee: unknown key; did you mean 'queue'?" },
    { changedRegistration("127.0.0.1", "host"), 400, "address: 'host' is not an IPv4 or IPv6 address" },
    { changedRegistration("orders", "other"), 400, "unknown service" },
};

// Guards against a registration that is accepted although a field is missing or invalid.
BOOST_DATA_TEST_CASE(registration_is_accepted_or_refused, registrations, row)
{
    test_data_plane plane;
    balancer_api<test_data_plane> api(plane);
    http_router router;
    api.registerAt(router);
    auto const response = router.handle({ "POST", "/v1/servers", {}, {}, row.body });
    BOOST_TEST(response.status == row.status);
    BOOST_TEST(response.body.find(row.message) != std::string::npos, response.body);
    BOOST_TEST(plane.rows.size() == (row.status == 200 ? 1U : 0U));
    if (row.status == 200)
        BOOST_TEST(plane.rows[0].registration.openConnections == 17U);
}

char const* const badFlows[] = { "", "tcp", "tcp 127.0.0.1:1 -> 127.0.0.1", "icmp 127.0.0.1:1 -> 127.0.0.1:2",
    "tcp 127.0.0.1:1 -> [::1]:2", "tcp 127.0.0.1:1 -> 127.0.0.1:2 x", "tcp 127.0.0.1:1 to 127.0.0.1:2" };

BOOST_DATA_TEST_CASE(bad_flow_is_refused, badFlows, text) { BOOST_TEST(!parseFlow(text).ok()); }

char const* const goodFlows[] = { "tcp 192.0.2.1:4000 -> 198.51.100.1:80", "udp [2001:db8::1]:1 -> [::1]:65535" };

BOOST_DATA_TEST_CASE(flow_text_round_trips, goodFlows, text)
{
    auto const flow = parseFlow(text);
    BOOST_REQUIRE(flow.ok());
    BOOST_TEST(flow->toText() == text);
}

// Guards against a balancer that still reports ready while it is shutting down.
BOOST_AUTO_TEST_CASE(readiness_follows_the_host)
{
    readiness state = readiness::Starting;
    health_api const api([&] { return state; }, [] { return "metric 1\n"; });
    http_router router;
    api.registerAt(router);
    auto const statusOf = [&](char const* path) { return router.handle({ "GET", path, {}, {}, "" }).status; };
    BOOST_TEST(statusOf("/readyz") == 503);
    state = readiness::Ready;
    BOOST_TEST(statusOf("/readyz") == 200);
    state = readiness::Stopping;
    BOOST_TEST(statusOf("/readyz") == 503);
    BOOST_TEST(statusOf("/healthz") == 200);
    BOOST_TEST(router.handle({ "GET", "/metrics", {}, {}, "" }).body == "metric 1\n");
}

} // namespace
