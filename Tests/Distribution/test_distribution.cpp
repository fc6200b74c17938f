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
    opened->setDataAge(duration::zero());
    return *std::move(opened);
}

// A request of host 4 goes to the first of one or two control hosts, because the first host is chosen by the host
// identifier.
configuration_request request(uint32_t host = 4, uint32_t deploymentHash = deployment)
{
    return { deploymentHash, host_id { host }, 3, 0, "north", 0, 0 };
}

// Runs publisher and subscriber until the subscriber receives a configuration.
std::optional<configuration_response> nextResponse(
    configuration_publisher& publisher, configuration_subscriber& subscriber, uint64_t revision)
{
    std::optional<configuration_response> response;
    succeeds([&] {
        publisher.step(milliseconds { 5 });
        response = subscriber.step(revision, 1, milliseconds { 5 });
        return response.has_value();
    });
    return response;
}

// Guards against a new revision that is not sent to a balancer with a waiting request, and against a lower revision
// that replaces a higher one (P8).
BOOST_AUTO_TEST_CASE(newer_configurations_reach_a_waiting_subscriber)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    configuration_subscriber subscriber({ local }, request());
    publisher.publish(5, "five");
    auto const first = nextResponse(publisher, subscriber, 0);
    BOOST_REQUIRE(first);
    BOOST_TEST(first->revision == 5U);
    BOOST_TEST(first->yaml == "five");
    BOOST_TEST(subscriber.lastResponseAt().has_value());

    // Once the publisher lists revision 5, it has received the request that will wait.
    BOOST_REQUIRE(succeeds([&] {
        BOOST_REQUIRE(!subscriber.step(5, 1, milliseconds { 5 }));
        publisher.step(milliseconds { 5 });
        return publisher.subscribers().at(0).revision == 5;
    }));
    publisher.publish(4, "four");
    publisher.publish(5, "another five");
    publisher.publish(6, "six");
    auto const second = nextResponse(publisher, subscriber, 5);
    BOOST_REQUIRE(second);
    BOOST_TEST(second->revision == 6U);
    BOOST_TEST(second->yaml == "six");
}

// Guards against a status that shows the revision of another host, or none.
BOOST_AUTO_TEST_CASE(subscribers_are_listed_by_host)
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
    auto const listed = publisher.subscribers();
    BOOST_CHECK(listed[0].host == host_id { 4 });
    BOOST_TEST(listed[0].revision == 7U);
    BOOST_TEST(listed[0].zone == "north");
    BOOST_TEST(listed[1].revision == 8U);
    BOOST_TEST(listed[1].state == 2U);
    BOOST_TEST(listed[1].incarnation == 3U);
}

// Guards against sending the configuration to a balancer of another deployment.
BOOST_AUTO_TEST_CASE(requests_of_another_deployment_get_no_response)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber otherDeploymentSubscriber({ local }, request(4, deployment + 1));
    configuration_subscriber subscriber({ local }, request(5));
    // Two rounds of the second subscriber leave enough time for a response to the first one's request.
    for (uint64_t revision : { 0, 1 }) {
        BOOST_REQUIRE(succeeds([&] {
            BOOST_REQUIRE(!otherDeploymentSubscriber.step(0, 1, milliseconds { 5 }));
            publisher.step(milliseconds { 5 });
            return subscriber.step(revision, 1, milliseconds { 5 }).has_value();
        }));
    }
    BOOST_TEST(publisher.subscribers().size() == 1U);
    BOOST_TEST(!otherDeploymentSubscriber.lastResponseAt().has_value());
}

// Guards against a balancer that waits forever for a control host that is down.
BOOST_AUTO_TEST_CASE(subscriber_switches_from_an_unreachable_host)
{
    auto const local = freeEndpoint();
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber subscriber({ freeEndpoint(), local }, request());
    BOOST_TEST(nextResponse(publisher, subscriber, 0).has_value());
}

// Guards against a balancer that stays connected to a control host that is partitioned from the majority (F4).
BOOST_AUTO_TEST_CASE(subscriber_switches_from_a_stale_host)
{
    auto const staleEndpoint = freeEndpoint();
    auto const local = freeEndpoint();
    auto stale = open(staleEndpoint);
    stale.publish(4, "four");
    stale.setDataAge(seconds { 10 });
    auto publisher = open(local);
    publisher.publish(5, "five");
    configuration_subscriber subscriber({ staleEndpoint, local }, request());
    uint64_t revision = 0;
    BOOST_TEST(succeeds([&] {
        stale.step(milliseconds { 5 });
        publisher.step(milliseconds { 5 });
        if (auto const response = subscriber.step(revision, 1, milliseconds { 5 })) {
            BOOST_TEST(response->revision > revision);
            revision = response->revision;
        }
        return revision == 5;
    }));
    BOOST_TEST(stale.subscribers().size() == 1U);
}

// Guards against two processes that bind the same address without an error.
BOOST_AUTO_TEST_CASE(address_in_use_is_an_error)
{
    auto const local = freeEndpoint();
    auto const opened = open(local);
    auto const again = configuration_publisher::create(local, deployment);
    BOOST_REQUIRE(!again.ok());
    BOOST_CHECK(errorKindOf(again.status()) == error_kind::Unavailable);
}

} // namespace
