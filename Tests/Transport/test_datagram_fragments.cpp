#include <Transport/datagram_fragments.h>
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

ip_endpoint const sender { ip_address::fromIpv4(0x7f000001), 7'720 };
monotonic_time const start = monotonic_time {} + std::chrono::seconds(100);

std::string messageOf(size_t size)
{
    std::string message(size, '\0');
    for (size_t index = 0; index < size; ++index)
        message[index] = static_cast<char>(index * 31 + index / 251);
    return message;
}

// Guards against messages that are changed when their datagrams arrive in another order.
BOOST_DATA_TEST_CASE(
    message_is_reassembled_from_any_order, boost::unit_test::data::make({ 0, 1, 8'175, 8'176, 8'177, 200'000 }), size)
{
    auto const message = messageOf(static_cast<size_t>(size));
    auto datagrams = splitIntoDatagrams(message, 5);
    std::reverse(datagrams.begin(), datagrams.end());
    datagram_assembler assembler;
    std::optional<std::string> result;
    for (auto const& datagram : datagrams) {
        BOOST_TEST(!result.has_value());
        BOOST_TEST(datagram.size() <= maximumDatagramBytes);
        result = assembler.add(sender, datagram, start);
    }
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((*result == message));
}

BOOST_AUTO_TEST_CASE(message_above_the_limit_is_refused)
{
    BOOST_TEST(splitIntoDatagrams(messageOf(maximumMessageBytes + 1), 1).empty());
}

struct damage_row {
    char const* name;
    std::string (*damage)(std::string);
};
std::ostream& operator<<(std::ostream& stream, damage_row const& row) { return stream << row.name; }

damage_row const damageRows[] = {
    { "empty", [](std::string) { return std::string(); } },
    { "shorter than its header", [](std::string datagram) { return datagram.substr(0, 10); } },
    { "truncated", [](std::string datagram) { return datagram.substr(0, datagram.size() - 1); } },
    { "changed byte",
        [](std::string datagram) {
            datagram.back() ^= 1;
            return datagram;
        } },
    { "other magic number",
        [](std::string datagram) {
            datagram[0] ^= 1;
            return datagram;
        } },
    { "fragment index out of range",
        [](std::string datagram) {
            datagram[8] = 9;
            return datagram;
        } },
};

// Guards against datagrams of another format or with damage that are accepted as messages.
BOOST_DATA_TEST_CASE(damaged_datagram_is_counted_and_dropped, damageRows, row)
{
    datagram_assembler assembler;
    auto const datagram = row.damage(splitIntoDatagrams(messageOf(100), 1).front());
    BOOST_TEST(!assembler.add(sender, datagram, start).has_value());
    BOOST_TEST(assembler.refused() == 1u);
}

// Guards against an empty fragment, which no sender of this program sends, that is counted each time it arrives and
// completes a message although another fragment is missing.
BOOST_AUTO_TEST_CASE(empty_fragment_of_a_longer_message_is_refused)
{
    auto first = splitIntoDatagrams(messageOf(20'000), 1).front();
    auto const whole = splitIntoDatagrams({}, 1).front();
    // The header of an empty message, with the fragment count of the longer one.
    auto empty = whole;
    empty[10] = first[10];
    empty[11] = first[11];
    empty[8] = 1;
    datagram_assembler assembler;
    BOOST_TEST(!assembler.add(sender, first, start).has_value());
    for (int count = 0; count < 5; ++count)
        BOOST_TEST(!assembler.add(sender, empty, start).has_value());
    BOOST_TEST(assembler.refused() == 5u);
}

// Guards against a duplicate datagram that completes a message although a fragment is missing.
BOOST_AUTO_TEST_CASE(duplicate_fragment_does_not_complete_a_message)
{
    auto const datagrams = splitIntoDatagrams(messageOf(20'000), 1);
    datagram_assembler assembler;
    BOOST_TEST(!assembler.add(sender, datagrams[0], start).has_value());
    BOOST_TEST(!assembler.add(sender, datagrams[0], start).has_value());
    BOOST_TEST(!assembler.add(sender, datagrams[1], start).has_value());
    BOOST_TEST(assembler.add(sender, datagrams[2], start).has_value());
}

// Guards against memory use that grows with fragments of messages that are never completed.
BOOST_AUTO_TEST_CASE(incomplete_message_expires)
{
    auto const datagrams = splitIntoDatagrams(messageOf(10'000), 1);
    datagram_assembler assembler;
    BOOST_TEST(!assembler.add(sender, datagrams[0], start).has_value());
    auto const late = start + std::chrono::seconds(3);
    BOOST_TEST(!assembler.add(sender, datagrams[1], late).has_value());
    BOOST_TEST(assembler.add(sender, datagrams[0], late).has_value());
}

} // namespace
