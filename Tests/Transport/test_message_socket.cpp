#include "loopback.h"
#include <Base/error_kind.h>
#include <Transport/message_socket.h>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace bilberryyard;
using namespace bilberryyard::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr host_id first { 1 };
constexpr host_id second { 2 };
constexpr host_id third { 3 };

message_socket open(ip_endpoint const& local, std::map<host_id, ip_endpoint> const& receivers)
{
    auto opened = message_socket::create(local, receivers);
    BOOST_REQUIRE_MESSAGE(opened.ok(), opened.status().ToString());
    return *std::move(opened);
}

// Retries until the connection is established and the message is queued.
bool sendWhenConnected(message_socket& sender, host_id receiver, std::string_view bytes)
{
    return succeeds([&] { return sender.send(receiver, bytes) || sender.receive(milliseconds { 5 }).has_value(); });
}

// Guards against messages that are lost, truncated, reordered or counted wrongly on an open connection.
BOOST_AUTO_TEST_CASE(messages_arrive_in_order)
{
    auto const localEndpoint = freeEndpoint();
    auto const remoteEndpoint = freeEndpoint();
    auto sender = open(localEndpoint, { { second, remoteEndpoint } });
    auto receiver = open(remoteEndpoint, { { first, localEndpoint } });
    std::vector<std::string> const messages { "start", "", std::string("\0\xff", 2), std::string(1 << 20, 'x'), "end" };
    BOOST_REQUIRE(sendWhenConnected(sender, second, messages[0]));
    for (size_t index = 1; index < messages.size(); ++index)
        BOOST_REQUIRE(sendWhenConnected(sender, second, messages[index]));
    size_t bytes = 0;
    for (auto const& expected : messages) {
        auto const message = receiver.receive(seconds { 30 });
        BOOST_REQUIRE(message);
        BOOST_CHECK(*message == expected);
        bytes += expected.size();
    }
    BOOST_TEST(sender.sentBytes() == bytes);
    BOOST_TEST(receiver.receivedBytes() == bytes);
    BOOST_TEST(sender.receivedBytes() == 0U);
}

// Guards against a sender that blocks, or that queues messages for an unreachable host, which would receive obsolete
// messages first when it is reachable again.
BOOST_AUTO_TEST_CASE(messages_to_an_unreachable_host_are_dropped)
{
    auto const remoteEndpoint = freeEndpoint();
    auto sender = open(freeEndpoint(), { { second, remoteEndpoint } });
    BOOST_TEST(!sender.send(third, "unknown"));
    for (int count = 0; count < 1000; ++count)
        BOOST_REQUIRE(!sender.send(second, "old"));
    BOOST_TEST(sender.sentBytes() == 0U);
    auto receiver = open(remoteEndpoint, {});
    BOOST_REQUIRE(sendWhenConnected(sender, second, "new"));
    auto const message = receiver.receive(seconds { 30 });
    BOOST_REQUIRE(message);
    BOOST_TEST(*message == "new");
}

// Guards against a sender that does not reconnect to a host after its process restarted.
BOOST_AUTO_TEST_CASE(restarted_receiver_is_reached_again)
{
    auto const remoteEndpoint = freeEndpoint();
    auto sender = open(freeEndpoint(), { { second, remoteEndpoint } });
    {
        auto receiver = open(remoteEndpoint, {});
        BOOST_REQUIRE(sendWhenConnected(sender, second, "before"));
        BOOST_REQUIRE(receiver.receive(seconds { 30 }));
    }
    std::optional<message_socket> receiver;
    BOOST_REQUIRE(succeeds([&] {
        auto opened = message_socket::create(remoteEndpoint, {});
        if (opened.ok())
            receiver = *std::move(opened);
        return opened.ok();
    }));
    BOOST_TEST(succeeds([&] {
        sender.send(second, "after");
        auto const message = receiver->receive(milliseconds { 20 });
        return message && *message == "after";
    }));
}

// Guards against messages that are still sent to the old address of a member that was replaced.
BOOST_AUTO_TEST_CASE(messages_are_sent_to_the_changed_address)
{
    auto const before = freeEndpoint();
    auto const after = freeEndpoint();
    auto previous = open(before, {});
    auto sender = open(freeEndpoint(), { { second, before } });
    BOOST_REQUIRE(sendWhenConnected(sender, second, "one"));
    BOOST_REQUIRE(previous.receive(seconds { 30 }));
    auto replacement = open(after, {});
    sender.setReceiver(second, after);
    BOOST_REQUIRE(sendWhenConnected(sender, second, "two"));
    auto const message = replacement.receive(seconds { 30 });
    BOOST_REQUIRE(message);
    BOOST_TEST(*message == "two");
    BOOST_TEST(!previous.receive(milliseconds { 0 }).has_value());
}

// Guards against two processes that bind the same address without an error.
BOOST_AUTO_TEST_CASE(address_in_use_is_an_error)
{
    auto const local = freeEndpoint();
    auto const opened = open(local, {});
    auto const again = message_socket::create(local, {});
    BOOST_REQUIRE(!again.ok());
    BOOST_CHECK(errorKindOf(again.status()) == error_kind::Unavailable);
    BOOST_TEST(messageOf(again.status()).find(local.toText()) != std::string::npos);
}

} // namespace
