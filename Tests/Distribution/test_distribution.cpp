#include "../Transport/loopback.h"
#include <Base/error_kind.h>
#include <Distribution/configuration_publisher.h>
#include <Distribution/configuration_subscriber.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t deployment = 0xabcd1234;

configuration_publisher open(ip_endpoint const& local)
{
    auto opened = configuration_publisher::create(local, deployment);
    BOOST_REQUIRE_MESSAGE(opened.ok(), opened.status().ToString());
    opened->setFreshness(duration::zero());
    return *std::move(opened);
}

// Host 4 asks the first of one or two control hosts.
configuration_request request(uint32_t host = 4, uint32_t ofDeployment = deployment)
{
    return { ofDeployment, host_id { host }, 3, 0, "north", 0, 0 };
}

// Runs both sides until the subscriber has an answer.
std::optional<configuration_response> nextAnswer(
    configuration_publisher& publisher, configuration_subscriber& subscriber, uint64_t revision)
{
    std::optional<configuration_response> answer;
    succeeds([&] {
        publisher.step(milliseconds { 5 });
        answer = subscriber.step(revision, 1, milliseconds { 5 });
        return answer.has_value();
    });
    return answer;
}

// Guards against a change that does not reach a balancer that waits for it, and against a lower revision (P8).
BOOST_AUTO_TEST_CASE(newer_configurations_reach_a_waiting_subscriber)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    configuration_subscriber subscriber({ local }, request());
    publisher.publish(5, "five");
    auto const first = nextAnswer(publisher, subscriber, 0);
    BOOST_REQUIRE(first);
    BOOST_TEST(first->revision == 5U);
    BOOST_TEST(first->yaml == "five");
    BOOST_TEST(subscriber.lastAnswer().has_value());

    // The request that waits is known by its revision.
    BOOST_REQUIRE(succeeds([&] {
        BOOST_REQUIRE(!subscriber.step(5, 1, milliseconds { 5 }));
        publisher.step(milliseconds { 5 });
        return publisher.subscribers().at(0).revision == 5;
    }));
    publisher.publish(4, "four");
    publisher.publish(5, "another five");
    publisher.publish(6, "six");
    auto const second = nextAnswer(publisher, subscriber, 5);
    BOOST_REQUIRE(second);
    BOOST_TEST(second->revision == 6U);
    BOOST_TEST(second->yaml == "six");
}

// Guards against a status that shows another host's revision or none.
BOOST_AUTO_TEST_CASE(subscribers_are_known_by_host)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    configuration_subscriber first({ local }, request(4));
    configuration_subscriber second({ local }, request(5));
    BOOST_REQUIRE(succeeds([&] {
        first.step(7, 0, milliseconds { 5 });
        second.step(8, 2, milliseconds { 5 });
        publisher.step(milliseconds { 5 });
        return publisher.subscribers().size() == 2;
    }));
    auto const known = publisher.subscribers();
    BOOST_CHECK(known[0].host == host_id { 4 });
    BOOST_TEST(known[0].revision == 7U);
    BOOST_TEST(known[0].zone == "north");
    BOOST_TEST(known[1].revision == 8U);
    BOOST_TEST(known[1].state == 2U);
    BOOST_TEST(known[1].incarnation == 3U);
}

// Guards against a balancer of another deployment that is given this one's configuration.
BOOST_AUTO_TEST_CASE(requests_of_another_deployment_are_not_answered)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber stranger({ local }, request(4, deployment + 1));
    configuration_subscriber subscriber({ local }, request(5));
    // Two rounds of the second subscriber give the first one's request time to arrive and be answered.
    for (uint64_t revision : { 0, 1 }) {
        BOOST_REQUIRE(succeeds([&] {
            BOOST_REQUIRE(!stranger.step(0, 1, milliseconds { 5 }));
            publisher.step(milliseconds { 5 });
            return subscriber.step(revision, 1, milliseconds { 5 }).has_value();
        }));
    }
    BOOST_TEST(publisher.subscribers().size() == 1U);
    BOOST_TEST(!stranger.lastAnswer().has_value());
}

// Guards against a balancer that waits for ever for a control host that is down.
BOOST_AUTO_TEST_CASE(subscriber_moves_on_from_an_absent_host)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber subscriber({ freeEndpoint(), local }, request());
    BOOST_TEST(nextAnswer(publisher, subscriber, 0).has_value());
}

// Guards against a balancer that stays with a control host that is cut off from the majority (F4).
BOOST_AUTO_TEST_CASE(subscriber_moves_on_from_a_stale_host)
{
    auto const staleEndpoint = freeEndpoint();
    auto const local = freeEndpoint();
    auto stale = open(staleEndpoint);
    stale.publish(4, "four");
    stale.setFreshness(seconds { 10 });
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber subscriber({ staleEndpoint, local }, request());
    uint64_t revision = 0;
    BOOST_TEST(succeeds([&] {
        stale.step(milliseconds { 5 });
        publisher.step(milliseconds { 5 });
        if (auto const answer = subscriber.step(revision, 1, milliseconds { 5 })) {
            BOOST_TEST(answer->revision > revision);
            revision = answer->revision;
        }
        return revision == 5;
    }));
    BOOST_TEST(stale.subscribers().size() == 1U);
}

// Guards against two processes that share an address without an error.
BOOST_AUTO_TEST_CASE(address_in_use_is_an_error)
{
    auto const local = freeEndpoint();
    auto const opened = open(local);
    auto const again = configuration_publisher::create(local, deployment);
    BOOST_REQUIRE(!again.ok());
    BOOST_CHECK(errorKindOf(again.status()) == error_kind::Unavailable);
}

} // namespace
