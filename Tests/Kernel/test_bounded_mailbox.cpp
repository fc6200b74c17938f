#include <Kernel/bounded_mailbox.h>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using namespace bilberryyard;

namespace {

// Guards against a full mailbox that grows, loses queued items, or stays full.
BOOST_AUTO_TEST_CASE(full_mailbox_refuses_items)
{
    bounded_mailbox<int> mailbox(2);
    BOOST_TEST(!mailbox.pop().has_value());
    BOOST_TEST(mailbox.push(1));
    BOOST_TEST(mailbox.push(2));
    BOOST_TEST(!mailbox.push(3));
    BOOST_TEST(mailbox.pop().value() == 1);
    BOOST_TEST(mailbox.push(4));
    BOOST_TEST(mailbox.pop().value() == 2);
    BOOST_TEST(mailbox.pop().value() == 4);
    BOOST_TEST(!mailbox.pop().has_value());
}

// Guards against items of several producers that are lost, duplicated or reordered.
BOOST_AUTO_TEST_CASE(items_of_several_producers_arrive_in_order)
{
    constexpr int producers = 4;
    constexpr int items = 5000;
    bounded_mailbox<std::pair<int, int>> mailbox(64);
    std::vector<std::thread> threads;
    for (int producer = 0; producer < producers; ++producer)
        threads.emplace_back([&mailbox, producer] {
            for (int item = 0; item < items;) {
                if (mailbox.push({ producer, item }))
                    ++item;
                else
                    std::this_thread::yield();
            }
        });
    std::vector<int> next(producers, 0);
    bool isOrdered = true;
    for (int received = 0; received < producers * items;) {
        auto const item = mailbox.pop();
        if (!item) {
            std::this_thread::yield();
            continue;
        }
        isOrdered = isOrdered && item->second == next[static_cast<size_t>(item->first)]++;
        ++received;
    }
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(isOrdered);
    BOOST_TEST(!mailbox.pop().has_value());
}

} // namespace
