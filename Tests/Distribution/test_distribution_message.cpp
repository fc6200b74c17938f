#include <Base/error_kind.h>
#include <Distribution/distribution_message.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

configuration_request const request { 0xabcd1234, host_id { 7 }, 3, UINT64_MAX, "north", 99, 2 };
configuration_response const response { 0xabcd1234, 99, 12, std::string("a: b\n\0\xff", 7), true };

template <typename Message>
void checkMessage(Message const& message)
{
    auto const bytes = message.encode();
    auto const decoded = Message::decode(bytes);
    BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
    BOOST_CHECK(*decoded == message);
    size_t refused = 0;
    for (size_t length = 0; length < bytes.size(); ++length) {
        auto const truncated = Message::decode(std::string_view(bytes).substr(0, length));
        refused += truncated.ok() ? 0 : 1;
        if (truncated.ok())
            BOOST_CHECK(*truncated != message);
        else
            BOOST_CHECK(errorKindOf(truncated.status()) == error_kind::InvalidArgument);
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(!Message::decode("\xff\xff\xff").ok());
}

// Guards against a field that is not encoded or not decoded, and against reading past the end of a truncated message.
BOOST_AUTO_TEST_CASE(request_round_trips) { checkMessage(request); }

// Guards against the same errors in responses, whose text need not be UTF-8.
BOOST_AUTO_TEST_CASE(response_round_trips) { checkMessage(response); }

} // namespace
