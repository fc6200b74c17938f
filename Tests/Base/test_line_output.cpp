#include <Base/line_budget.h>
#include <Base/line_output.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace bilberryyard;

namespace {

// Guards against a process that stops because nobody reads its log: what does not fit is dropped and counted.
BOOST_AUTO_TEST_CASE(reader_that_does_not_keep_up_blocks_nobody)
{
    std::array<int, 2> ends {};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    line_output output(ends[1]);
    std::string const line(1'000, 'x');
    for (int number = 0; number < 2'000; ++number) {
        output.append(line);
        output.flush();
    }
    BOOST_TEST(output.dropped() > 0u);
    std::array<char, 4'096> part {};
    BOOST_TEST(read(ends[0], part.data(), part.size()) == 4'096);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a log that grows with the load.
BOOST_AUTO_TEST_CASE(budget_counts_what_it_refuses)
{
    line_budget budget(3);
    auto const now = monotonic_time {} + std::chrono::seconds(100);
    int taken = 0;
    for (int number = 0; number < 10; ++number)
        taken += budget.tryAcquire(now) ? 1 : 0;
    BOOST_TEST(taken == 3);
    BOOST_TEST(budget.drainSuppressedCount() == 7u);
    BOOST_TEST(budget.drainSuppressedCount() == 0u);
    BOOST_TEST(budget.tryAcquire(now + std::chrono::seconds(1)));
}

} // namespace
