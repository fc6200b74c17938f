#include <Kernel/bounded_ring.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/service_directory.h>
#include <Kernel/worker_thread.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

// Guards against a full ring that overwrites items or blocks instead of refusing and counting new items.
BOOST_AUTO_TEST_CASE(full_ring_refuses_and_counts)
{
    bounded_ring<int> ring(2);
    BOOST_TEST(ring.push(1));
    BOOST_TEST(ring.push(2));
    BOOST_TEST(!ring.push(3));
    BOOST_TEST(ring.refusedCount() == 1u);
    BOOST_TEST(ring.pop().value() == 1);
    BOOST_TEST(ring.pop().value() == 2);
    BOOST_TEST(!ring.pop().has_value());
}

// Guards against a worker function that runs longer than its owner exists.
BOOST_AUTO_TEST_CASE(worker_thread_is_joined_on_destruction)
{
    std::atomic<bool> ended { false };
    {
        worker_thread const thread("test", [&ended](std::stop_token const& stopToken) {
            while (!stopToken.stop_requested())
                std::this_thread::yield();
            ended = true;
        });
    }
    BOOST_TEST(ended.load());
}

// Guards against two services with one name, and against a lookup that returns a service of another type.
BOOST_AUTO_TEST_CASE(directory_finds_services_by_name_and_type)
{
    service_directory directory;
    BOOST_TEST(directory.add("counter", std::make_shared<metric_counter>()).ok());
    BOOST_CHECK(errorKindOf(directory.add("counter", std::make_shared<metric_counter>())) == error_kind::Conflict);
    BOOST_TEST(directory.find<metric_counter>("counter").ok());
    BOOST_CHECK(errorKindOf(directory.find<metrics_registry>("counter").status()) == error_kind::FailedPrecondition);
    BOOST_CHECK(errorKindOf(directory.find<metric_counter>("other").status()) == error_kind::NotFound);
}

// Guards against metrics that a Prometheus scraper cannot parse.
BOOST_AUTO_TEST_CASE(exposition_lists_each_metric_with_its_type)
{
    metrics_registry registry;
    registry.counter("packets_total").add(3);
    registry.setGauge("revision", 7);
    for (int sample = 1; sample <= 100; ++sample)
        registry.distribution("apply_seconds").add(sample);
    auto const text = registry.exposition();
    BOOST_TEST(text.find("# TYPE bilberryyard_packets_total counter\nbilberryyard_packets_total 3\n") != text.npos);
    BOOST_TEST(text.find("bilberryyard_revision 7\n") != text.npos);
    BOOST_TEST(text.find("bilberryyard_apply_seconds_count 100\n") != text.npos);
    BOOST_TEST(registry.distribution("apply_seconds").summary().mean == 50.5, boost::test_tools::tolerance(1e-9));
}
