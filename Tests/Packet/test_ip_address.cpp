#include <Packet/flow_key.h>
#include <Packet/ip_address.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

struct address_row {
    char const* text;
    char const* canonical;
};

std::ostream& operator<<(std::ostream& stream, address_row const& row) { return stream << row.text; }

address_row const validAddresses[] = {
    { "192.0.2.1", "192.0.2.1" },
    { "::ffff:192.0.2.1", "192.0.2.1" },
    { "2001:db8:0:0::1", "2001:db8::1" },
};

char const* const invalidAddresses[] = { "", "192.0.2", "192.0.2.256", "2001:db8:::1", "example" };

// Guards against two notations of one address that compare unequal and hash to different buckets.
BOOST_DATA_TEST_CASE(valid_address_round_trips, validAddresses, row)
{
    auto const address = ip_address::parse(row.text);
    BOOST_REQUIRE(address.ok());
    BOOST_TEST(address->toText() == row.canonical);
    BOOST_CHECK(*ip_address::parse(address->toText()) == *address);
}

BOOST_DATA_TEST_CASE(invalid_address_is_refused, invalidAddresses, text) { BOOST_TEST(!ip_address::parse(text).ok()); }

// Guards against a hash that differs between two calls with the same key and seed, or that ignores the seed. All hosts
// must compute the same value for a key and seed.
BOOST_AUTO_TEST_CASE(flow_hash_is_fixed)
{
    flow_key const key { ip_address::fromIpv4(0xC0000201), ip_address::fromIpv4(0xC6336401), 4000, 80 };
    BOOST_TEST(key.toText() == "tcp 192.0.2.1:4000 -> 198.51.100.1:80");
    BOOST_TEST(hashFlow(key, 1) == hashFlow(key, 1));
    BOOST_TEST(hashFlow(key, 1) != hashFlow(key, 2));
}

} // namespace
