#include "coordination_samples.h"
#include <Base/error_kind.h>
#include <CoordinationCodec/coordination_codec.h>
#include <Messages/coordination.pb.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace bilberryyard;

namespace {

constexpr uint32_t deployment = 0xabcd1234;
coordination_codec const codec(deployment);

messages::CoordinationMessage parsed(std::string const& bytes)
{
    messages::CoordinationMessage message;
    BOOST_REQUIRE(message.ParseFromString(bytes));
    return message;
}

messages::CoordinationMessage encoded(std::string const& name)
{
    for (auto const& sample : samples::messages()) {
        if (sample.name == name)
            return parsed(codec.encode(sample.message));
    }
    BOOST_FAIL("no sample " + name);
    return {};
}

// Guards against a field that is not encoded, not decoded, or confused with another one.
BOOST_DATA_TEST_CASE(messages_survive_the_round_trip, samples::messages(), sample)
{
    auto const decoded = codec.decode(codec.encode(sample.message));
    BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
    BOOST_CHECK(*decoded == sample.message);
}

// Guards against accepting the messages of another deployment on the same network.
BOOST_DATA_TEST_CASE(messages_of_another_deployment_are_refused, samples::messages(), sample)
{
    auto const decoded = coordination_codec(deployment + 1).decode(codec.encode(sample.message));
    BOOST_REQUIRE(!decoded.ok());
    BOOST_CHECK(errorKindOf(decoded.status()) == error_kind::FailedPrecondition);
}

// Guards against reading past the end, and against a truncated message that is decoded as a complete one with another
// meaning. A message that is accepted must be valid and survive its own round trip.
BOOST_DATA_TEST_CASE(truncations_are_refused_or_valid, samples::messages(), sample)
{
    auto const bytes = codec.encode(sample.message);
    for (size_t length = 0; length < bytes.size(); ++length) {
        auto const decoded = codec.decode(std::string_view(bytes).substr(0, length));
        if (!decoded.ok()) {
            auto const kind = errorKindOf(decoded.status());
            BOOST_CHECK(kind == error_kind::InvalidArgument || kind == error_kind::FailedPrecondition);
            continue;
        }
        auto const again = codec.decode(codec.encode(*decoded));
        BOOST_REQUIRE(again.ok());
        BOOST_CHECK(!(*again == sample.message));
    }
}

// Guards against a crash or an unbounded allocation for arbitrary bytes from another program.
BOOST_DATA_TEST_CASE(random_bytes_are_refused_or_valid, boost::unit_test::data::xrange(20), seed)
{
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    auto const all = samples::messages();
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
        if (!decoded.ok())
            BOOST_CHECK(!messageOf(decoded.status()).empty());
        else
            BOOST_CHECK(codec.decode(codec.encode(*decoded)).ok());
    }
}

struct invalid_value {
    std::string name;
    std::string sample;
    std::function<void(messages::CoordinationMessage&)> edit;
};

std::ostream& operator<<(std::ostream& stream, invalid_value const& value) { return stream << value.name; }

using message = messages::CoordinationMessage;

messages::BucketChange& firstChange(message& value) { return *value.mutable_delta()->mutable_changes(0); }

messages::ServerRecord& firstRecord(message& value) { return *value.mutable_records()->mutable_records(0); }

std::vector<invalid_value> const invalidValues {
    { "no body", "heartbeat", [](message& value) { value.clear_body(); } },
    { "heartbeat state", "heartbeat", [](message& value) { value.mutable_heartbeat()->set_state(3); } },
    { "heartbeat intent", "heartbeat", [](message& value) { value.mutable_heartbeat()->set_intent(2); } },
    { "address length", "records", [](message& value) { firstRecord(value).set_address("12345"); } },
    { "no address", "records", [](message& value) { firstRecord(value).clear_address(); } },
    { "port", "records", [](message& value) { firstRecord(value).set_port(65536); } },
    { "server state", "records", [](message& value) { firstRecord(value).set_state(3); } },
    { "age", "records", [](message& value) { firstRecord(value).set_age_milliseconds(86'400'001); } },
    { "largest age", "records", [](message& value) { firstRecord(value).set_age_milliseconds(UINT64_MAX); } },
    { "current", "delta", [](message& value) { firstChange(value).set_current(3); } },
    { "base", "delta", [](message& value) { firstChange(value).set_base(UINT32_MAX); } },
    { "phase", "delta", [](message& value) { firstChange(value).set_phase(2); } },
    { "witness set", "delta", [](message& value) { firstChange(value).set_witness_set(2); } },
    { "stamp", "delta", [](message& value) { firstChange(value).set_stamp(2); } },
    { "witness state", "delta",
        [](message& value) {
            value.mutable_delta()->mutable_witness_sets(0)->mutable_groups(0)->mutable_witnesses(0)->set_state(2);
        } },
    { "too many witnesses", "delta",
        [](message& value) {
            auto* group = value.mutable_delta()->mutable_witness_sets(0)->mutable_groups(0);
            group->add_witnesses();
            group->add_witnesses();
        } },
    { "too many groups", "delta",
        [](message& value) {
            for (int count = 0; count < 3; ++count)
                value.mutable_delta()->mutable_witness_sets(0)->add_groups();
        } },
    { "gaps and runs", "delta",
        [](message& value) {
            firstChange(value).clear_runs();
            firstChange(value).add_gaps(1);
            firstChange(value).add_runs(1);
            firstChange(value).add_runs(1);
        } },
    { "odd runs", "delta", [](message& value) { firstChange(value).add_runs(1); } },
    { "run past the last bucket", "delta",
        [](message& value) {
            firstChange(value).set_runs(0, 1U << 20);
            firstChange(value).set_runs(1, 1);
        } },
    { "longest run", "delta", [](message& value) { firstChange(value).set_runs(1, UINT32_MAX); } },
    { "each bucket in many changes", "delta",
        [](message& value) {
            auto change = firstChange(value);
            change.clear_runs();
            change.add_runs(0);
            change.add_runs(1U << 20);
            for (int count = 0; count < 64; ++count)
                *value.mutable_delta()->add_changes() = change;
        } },
    { "bucket count 0", "table offer", [](message& value) { value.mutable_table_offer()->set_bucket_count(0); } },
    { "bucket count 17", "table offer", [](message& value) { value.mutable_table_offer()->set_bucket_count(17); } },
    { "bucket count 2^21", "table snapshot",
        [](message& value) { value.mutable_table_snapshot()->mutable_table()->set_bucket_count(1U << 21); } },
    { "gap past the last bucket", "fill request, gaps",
        [](message& value) { value.mutable_fill_request()->set_gaps(2, 1U << 20); } },
    { "repeated bucket", "fill request, gaps", [](message& value) { value.mutable_fill_request()->set_gaps(1, 0); } },
    { "missing choice", "fill response", [](message& value) { value.mutable_fill_answer()->add_hashes(4); } },
    { "unknown server", "fill response", [](message& value) { value.mutable_fill_answer()->set_choices(0, 2); } },
    { "settled bucket", "settled report", [](message& value) { value.mutable_settled()->add_gaps(UINT32_MAX); } },
    { "filled bucket", "filled report", [](message& value) { value.mutable_filled()->add_gaps(UINT32_MAX); } },
};

// Guards against values that would become undefined enumerators, or indices outside a table or dictionary.
BOOST_DATA_TEST_CASE(values_out_of_range_are_refused, invalidValues, invalid)
{
    auto edited = encoded(invalid.sample);
    BOOST_REQUIRE(codec.decode(edited.SerializeAsString()).ok());
    invalid.edit(edited);
    auto const decoded = codec.decode(edited.SerializeAsString());
    BOOST_REQUIRE(!decoded.ok());
    BOOST_CHECK(errorKindOf(decoded.status()) == error_kind::InvalidArgument);
}

} // namespace
