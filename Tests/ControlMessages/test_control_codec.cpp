#include "control_samples.h"
#include <Base/error_kind.h>
#include <ControlMessages/control_codec.h>
#include <Messages/control.pb.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace bilberryyard;

namespace {

constexpr uint32_t deployment = 0xabcd1234;
control_codec const codec(deployment);

// Guards against fields that are not encoded, not decoded, or swapped.
BOOST_DATA_TEST_CASE(messages_survive_the_round_trip, samples::controlMessages(), sample)
{
    auto const decoded = codec.decode(codec.encode(sample.message));
    BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
    BOOST_CHECK(*decoded == sample.message);
}

// Guards against control hosts of two deployments that join the same cluster.
BOOST_DATA_TEST_CASE(messages_of_another_deployment_are_refused, samples::controlMessages(), sample)
{
    auto const decoded = control_codec(deployment + 1).decode(codec.encode(sample.message));
    BOOST_REQUIRE(!decoded.ok());
    BOOST_CHECK(errorKindOf(decoded.status()) == error_kind::FailedPrecondition);
}

// Guards against reading past the end, and against a truncated message that decodes to the complete one.
BOOST_DATA_TEST_CASE(truncations_are_refused_or_valid, samples::controlMessages(), sample)
{
    auto const bytes = codec.encode(sample.message);
    for (size_t length = 0; length < bytes.size(); ++length) {
        auto const decoded = codec.decode(std::string_view(bytes).substr(0, length));
        if (!decoded.ok()) {
            BOOST_CHECK(!messageOf(decoded.status()).empty());
            continue;
        }
        auto const again = codec.decode(codec.encode(*decoded));
        BOOST_REQUIRE(again.ok());
        BOOST_CHECK(*again == *decoded);
        BOOST_CHECK(!(*decoded == sample.message));
    }
}

// Guards against a crash on bytes that are not a control message.
BOOST_DATA_TEST_CASE(random_bytes_are_refused_or_valid, boost::unit_test::data::xrange(20), seed)
{
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    auto const all = samples::controlMessages();
    for (int round = 0; round < 500; ++round) {
        std::string bytes;
        if (round % 2 == 0) {
            bytes.resize(random() % 200);
            for (auto& byte : bytes)
                byte = static_cast<char>(random());
        } else {
            bytes = codec.encode(all[random() % all.size()].message);
            for (int edit = 0; edit < 3; ++edit)
                bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        auto const decoded = codec.decode(bytes);
        if (!decoded.ok()) {
            BOOST_CHECK(!messageOf(decoded.status()).empty());
            continue;
        }
        auto const again = codec.decode(codec.encode(*decoded));
        BOOST_REQUIRE(again.ok());
        BOOST_CHECK(*again == *decoded);
    }
}

struct bad_value {
    std::string name;
    std::string sample;
    std::function<void(messages::ControlMessage&)> edit;
    error_kind kind = error_kind::InvalidArgument;
};

std::ostream& operator<<(std::ostream& stream, bad_value const& value) { return stream << value.name; }

using wire_message = messages::ControlMessage;

std::vector<bad_value> const badValues {
    { "no body", "offer", [](wire_message& value) { value.clear_body(); } },
    { "no consensus body", "timeout now", [](wire_message& value) { value.mutable_consensus()->clear_body(); } },
    { "phase 0", "vote request",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_request()->set_phase(0); } },
    { "phase 3", "vote request",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_request()->set_phase(3); } },
    { "cause 0", "vote request",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_request()->set_cause(0); } },
    { "cause 258", "vote request",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_request()->set_cause(258); } },
    { "response phase", "vote response",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_response()->set_phase(3); } },
    { "decision 0", "vote response",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_response()->set_decision(0); } },
    { "decision 258", "vote response",
        [](wire_message& value) { value.mutable_consensus()->mutable_vote_response()->set_decision(258); } },
    { "entry kind", "append request",
        [](wire_message& value) {
            value.mutable_consensus()->mutable_append_request()->mutable_entries(1)->set_kind(4);
        } },
    { "outcome", "append response",
        [](wire_message& value) { value.mutable_consensus()->mutable_append_response()->set_outcome(3); } },
    { "members", "snapshot chunk",
        [](wire_message& value) { value.mutable_consensus()->mutable_snapshot_chunk()->set_configuration("x"); },
        error_kind::DataLoss },
};

// Guards against values that become undefined enumerators, such as 258, which wraps to 2 (Granted) in 8 bits.
BOOST_DATA_TEST_CASE(values_out_of_range_are_refused, badValues, bad)
{
    for (auto const& sample : samples::controlMessages()) {
        if (sample.name != bad.sample)
            continue;
        messages::ControlMessage edited;
        BOOST_REQUIRE(edited.ParseFromString(codec.encode(sample.message)));
        bad.edit(edited);
        auto const decoded = codec.decode(edited.SerializeAsString());
        BOOST_REQUIRE(!decoded.ok());
        BOOST_CHECK(errorKindOf(decoded.status()) == bad.kind);
        return;
    }
    BOOST_FAIL("no sample " + bad.sample);
}

// Guards against an age that overflows when it is converted to nanoseconds.
BOOST_AUTO_TEST_CASE(ages_are_bounded)
{
    messages::ControlMessage encoded;
    encoded.set_deployment(deployment);
    encoded.mutable_report()->add_balancers()->set_age_milliseconds(UINT64_MAX);
    auto const decoded = codec.decode(encoded.SerializeAsString());
    BOOST_REQUIRE(decoded.ok());
    BOOST_CHECK(std::get<host_report>(decoded->body).balancers.at(0).age == std::chrono::hours { 24 });
}

} // namespace
