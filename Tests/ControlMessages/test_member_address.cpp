#include <Base/error_kind.h>
#include <ControlMessages/member_address.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

std::string const validTexts[]
    = { "1 192.0.2.1:7000 192.0.2.1:7001 0", "4294967295 [2001:db8::1]:1 [2001:db8::2]:65535 18446744073709551615" };

// Guards against a member that is unreachable because its address changed when it was stored in the log.
BOOST_DATA_TEST_CASE(addresses_survive_the_round_trip, validTexts, text)
{
    auto const address = member_address::parse(text);
    BOOST_REQUIRE_MESSAGE(address.ok(), address.status().ToString());
    BOOST_TEST(address->toText() == text);
    BOOST_CHECK(*member_address::parse(address->toText()) == *address);
}

std::string const badTexts[]
    = { "", "1", "1 192.0.2.1:7000", "1 192.0.2.1:7000 192.0.2.1:7001", "x 192.0.2.1:7000 192.0.2.1:7001 0",
          "4294967296 192.0.2.1:7000 192.0.2.1:7001 0", "-1 192.0.2.1:7000 192.0.2.1:7001 0",
          "1 192.0.2.1 192.0.2.1:7001 0", "1 192.0.2.1:7000 192.0.2.1:0 0", "1 192.0.2.1:7000 192.0.2.1:7001 x",
          "1 192.0.2.1:7000 192.0.2.1:7001 18446744073709551616", "1 192.0.2.1:7000 192.0.2.1:7001 0 more" };

// Guards against a malformed address that is accepted as that of another host.
BOOST_DATA_TEST_CASE(other_texts_are_refused, badTexts, text)
{
    auto const address = member_address::parse(text);
    BOOST_REQUIRE(!address.ok());
    BOOST_CHECK(errorKindOf(address.status()) == error_kind::InvalidArgument);
}

} // namespace
