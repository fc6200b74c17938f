#include "trace_samples.h"

#include <Trace/trace_recorder.h>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace bilberryyard::test {

// Guards against inputs that are lost without being counted when a ring is full: written and dropped inputs must add up
// to those recorded.
BOOST_AUTO_TEST_CASE(every_input_is_written_or_counted)
{
    auto const path = temporaryPath("trace-recorder");
    monotonic_time const start { std::chrono::seconds { 5 } };
    auto recorder = trace_recorder::create(path, sampleHeader(), start, 8);
    BOOST_REQUIRE(recorder.ok());
    constexpr uint64_t count = 20'000;
    std::thread control([&] {
        for (uint64_t index = 0; index < count; ++index)
            (*recorder)->recordControl(peer_message_input { host_id { 1 }, "message" }, start + duration(index));
    });
    for (uint64_t index = 0; index < count; ++index)
        (*recorder)->recordPacket({ host_id { 1 }, { 1, 2, 3 }, {} }, start + duration(index));
    control.join();
    BOOST_TEST((*recorder)->finish().ok());
    auto const inputs = readAll(path);
    BOOST_REQUIRE(inputs.ok());
    uint64_t written = 0;
    uint64_t dropped = 0;
    for (auto const& input : *inputs) {
        if (auto const* drops = std::get_if<dropped_inputs>(&input.body))
            dropped += drops->count;
        else
            ++written;
    }
    BOOST_TEST(written + dropped == 2 * count);
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(dropped == (*recorder)->dropped());
    std::filesystem::remove(path);
}

} // namespace bilberryyard::test
