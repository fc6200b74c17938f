#include <Base/line_budget.h>
#include <Base/line_output.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace bilberryyard;

namespace {

// Guards against a process that blocks because its log is not read: lines that do not fit are dropped and counted.
BOOST_AUTO_TEST_CASE(slow_reader_does_not_block_the_writer)
{
    std::array<int, 2> pipeDescriptors {};
    BOOST_REQUIRE(pipe(pipeDescriptors.data()) == 0);
    line_output output(pipeDescriptors[1]);
    std::string const line(1'000, 'x');
    for (int number = 0; number < 2'000; ++number) {
        output.append(line);
        output.flush();
    }
    BOOST_TEST(output.dropped() > 0u);
    std::array<char, 4'096> buffer {};
    BOOST_TEST(read(pipeDescriptors[0], buffer.data(), buffer.size()) == 4'096);
    close(pipeDescriptors[0]);
    close(pipeDescriptors[1]);
}

// Guards against a log volume that grows with the load.
BOOST_AUTO_TEST_CASE(budget_counts_the_lines_it_refuses)
{
    line_budget budget(3);
    auto const now = monotonic_time {} + std::chrono::seconds(100);
    int acquired = 0;
    for (int number = 0; number < 10; ++number)
        acquired += budget.tryAcquire(now) ? 1 : 0;
    BOOST_TEST(acquired == 3);
    BOOST_TEST(budget.drainSuppressedCount() == 7u);
    BOOST_TEST(budget.drainSuppressedCount() == 0u);
    BOOST_TEST(budget.tryAcquire(now + std::chrono::seconds(1)));
}

} // namespace
