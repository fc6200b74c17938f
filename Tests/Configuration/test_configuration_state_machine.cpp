#include "configuration_samples.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_state_machine.h>
#include <Configuration/configuration_writer.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>
#include <random>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

std::string applied(configuration_state_machine& machine, configuration_command const& command)
{
    return machine.apply(command.encode()).encode();
}

std::string twoServices(std::string const& extra = "")
{
    return servicesYaml(serviceYaml("orders", "127.0.1.1", extra) + serviceYaml("gallery", "127.0.1.2"));
}

add_exception_change slotsException(
    std::string const& reason = "r", std::string const& service = "orders", uint32_t slots = 3)
{
    return { { { exception_target_kind::Service, service, {} }, "slots", slots, reason, "ana" } };
}

remove_exception_change const slotsRemoval { { exception_target_kind::Service, "orders", {} }, "slots" };

configuration_command withChange(
    std::string const& requestId, uint64_t base, configuration_command::change_type const& change)
{
    auto command = replaceCommand(requestId, base, "{}");
    command.change = change;
    return command;
}

replace_configuration_change withDuplicateZoneName()
{
    return { { {}, { { "north", {} }, { "north", {} } }, {}, {} } };
}

struct refusal_row {
    char const* name;
    configuration_command command;
    error_kind error;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, refusal_row const& row) { return stream << row.name; }

configuration_command withAuthorAndReason(std::string const& author, std::string const& reason)
{
    auto command = replaceCommand("r", 1, twoServices());
    command.author = author;
    command.reason = reason;
    return command;
}

std::vector<refusal_row> const refusals = {
    { "exception without reason", withChange("r", 1, slotsException("")), error_kind::InvalidArgument,
        "exceptions[0].reason: must not be empty" },
    { "exception with blank reason", withChange("r", 1, slotsException(" \t")), error_kind::InvalidArgument,
        "exceptions[0].reason: must not be empty" },
    { "exception with a reason of two lines", withChange("r", 1, slotsException("a\nb")), error_kind::InvalidArgument,
        "exceptions[0].reason: must be one line" },
    { "exception out of range", withChange("r", 1, slotsException("r", "orders", 5000)), error_kind::InvalidArgument,
        "exceptions[0].value: 5000 is out of range" },
    { "exception on unknown service", withChange("r", 1, slotsException("r", "x")), error_kind::InvalidArgument,
        "exceptions[0].target: there is no service 'x'" },
    { "unknown exception", withChange("r", 1, slotsRemoval), error_kind::NotFound,
        "service/orders has no exception for slots" },
    { "change without reason", withAuthorAndReason("ana", " "), error_kind::InvalidArgument, "reason: must not be" },
    { "change without author", withAuthorAndReason("", "r"), error_kind::InvalidArgument, "author: must not be" },
    { "old base", replaceCommand("r", 0, twoServices()), error_kind::Conflict,
        "the configuration has changed since revision 0; the current one is 1" },
    { "base revision that does not exist yet", replaceCommand("r", 7, twoServices()), error_kind::FailedPrecondition,
        "base revision 7 does not exist; the current one is 1" },
    { "request id with a space", replaceCommand("a b", 1, twoServices()), error_kind::InvalidArgument,
        "a request id is" },
    { "invalid configuration", withChange("r", 1, withDuplicateZoneName()), error_kind::InvalidArgument,
        "zones[1].name: the name 'north' is used twice" },
    { "id of a removed service", replaceCommand("r", 1, servicesYaml(serviceYaml("orders", "127.0.1.1", ", id: 2"))),
        error_kind::InvalidArgument, "services[0].id: 2 differs from the id 1 that 'orders' has" },
    { "huge id", replaceCommand("r", 1, servicesYaml(serviceYaml("new", "127.0.1.1", ", id: 4000000000"))),
        error_kind::InvalidArgument, "services[0].id: 4000000000 is too large" },
};

// Guards against a refused command that changes the configuration or has no entry in the audit trail.
BOOST_DATA_TEST_CASE(refused_command_changes_nothing_and_is_audited, refusals, row)
{
    configuration_state_machine machine;
    BOOST_REQUIRE(machine.apply(replaceCommand("first", 0, servicesYaml(serviceYaml("orders", "127.0.1.1"))).encode())
                      .isAccepted());
    auto const before = machine.current();
    auto const result = machine.apply(row.command.encode());
    BOOST_REQUIRE(!result.isAccepted());
    BOOST_CHECK(result.error == row.error);
    BOOST_TEST(result.message.starts_with(row.message), result.message);
    BOOST_TEST(machine.current().revision == before.revision);
    BOOST_TEST((*machine.current().value == *before.value));
    auto const audit = machine.audit({}).entries;
    BOOST_REQUIRE_EQUAL(audit.size(), 2U);
    BOOST_TEST((audit[1].result == result));
    BOOST_TEST(audit[1].author == row.command.author);
    BOOST_TEST(audit[1].reason == row.command.reason);
}

// Guards against members that crash on a log entry that cannot be decoded, or get different results for it.
BOOST_AUTO_TEST_CASE(malformed_command_is_refused)
{
    configuration_state_machine machine;
    for (std::string const& bytes : { std::string(), std::string("\xff\xff\xff"), std::string("\x0a\x01x") }) {
        auto const result = machine.apply(bytes);
        BOOST_CHECK(result.error == error_kind::InvalidArgument);
    }
    BOOST_TEST(machine.current().revision == 0U);
    BOOST_TEST(machine.audit({}).next == 4U);
}

// Guards against lost updates when two operators submit changes with the same base revision (F5).
BOOST_AUTO_TEST_CASE(second_of_two_concurrent_changes_is_a_conflict_with_the_difference)
{
    configuration_state_machine machine;
    BOOST_REQUIRE(machine.apply(replaceCommand("a", 0, twoServices()).encode()).isAccepted());
    auto const acceptedResult = machine.apply(replaceCommand("b", 1, twoServices(", slots: 4"), "ben").encode());
    BOOST_REQUIRE(acceptedResult.isAccepted());
    BOOST_TEST(acceptedResult.difference == std::vector<std::string> { "+ services.orders.slots: 4" },
        boost::test_tools::per_element());
    auto const conflictResult = machine.apply(replaceCommand("c", 1, twoServices(", slots: 5"), "cai").encode());
    BOOST_CHECK(conflictResult.error == error_kind::Conflict);
    BOOST_TEST(
        conflictResult.difference == std::vector<std::string> { "revision 2 by ben: + services.orders.slots: 4" },
        boost::test_tools::per_element());
    BOOST_TEST(machine.current().value->services()[0].overrides.size() == 1U);
}

// Guards against a resend that is executed again or gets a different result, also after a restart from a snapshot and
// when the resend carries the time of another control host.
BOOST_AUTO_TEST_CASE(resend_gets_the_first_result_across_snapshot_and_replay)
{
    std::vector<configuration_command> const commands = {
        replaceCommand("a", 0, twoServices()),
        replaceCommand("b", 0, twoServices(", slots: 4")),
        withChange("c", 1, slotsException()),
        withChange("d", 2, slotsException()),
        withChange("e", 2, slotsRemoval),
        replaceCommand("f", 9, twoServices()),
    };
    configuration_state_machine machine;
    std::vector<std::string> results;
    for (auto const& command : commands)
        results.push_back(applied(machine, command));
    auto const revision = machine.current().revision;
    BOOST_TEST(revision == 3U);
    configuration_state_machine restored;
    BOOST_REQUIRE(restored.restore(machine.snapshot()).ok());
    for (size_t index = 0; index < commands.size(); ++index) {
        auto resend = commands[index];
        resend.time += std::chrono::seconds(5);
        BOOST_TEST(applied(machine, resend) == results[index]);
        BOOST_TEST(applied(restored, resend) == results[index]);
    }
    BOOST_TEST(machine.current().revision == revision);
    BOOST_TEST(machine.snapshot() == restored.snapshot());
    auto reused = commands[0];
    reused.reason = "another change";
    BOOST_CHECK(machine.apply(reused.encode()).error == error_kind::InvalidArgument);
}

// Guards against reuse of the identifier of a removed service: hosts that still have the flow table of the old service
// would deliver its flows to servers of the new one (P2).
BOOST_AUTO_TEST_CASE(id_of_a_removed_service_is_not_reused)
{
    configuration_state_machine machine;
    auto const idOf = [&](char const* name) { return machine.current().value->findService(name)->id.value; };
    BOOST_REQUIRE(machine.apply(replaceCommand("a", 0, twoServices()).encode()).isAccepted());
    BOOST_TEST(idOf("orders") == 1U);
    BOOST_TEST(idOf("gallery") == 2U);
    auto const onlyOrders = servicesYaml(serviceYaml("orders", "127.0.1.1"));
    BOOST_REQUIRE(machine.apply(replaceCommand("b", 1, onlyOrders).encode()).isAccepted());
    BOOST_REQUIRE(machine.apply(replaceCommand("c", 2, twoServices()).encode()).isAccepted());
    BOOST_TEST(idOf("orders") == 1U);
    BOOST_TEST(idOf("gallery") == 3U);
    auto const reuse = servicesYaml(serviceYaml("other", "127.0.1.9", ", id: 2"));
    BOOST_CHECK(machine.apply(replaceCommand("d", 3, reuse).encode()).error == error_kind::InvalidArgument);
    auto const renamed = servicesYaml(serviceYaml("purchases", "127.0.1.1", ", id: 1"));
    BOOST_REQUIRE(machine.apply(replaceCommand("e", 3, renamed).encode()).isAccepted());
    BOOST_TEST(idOf("purchases") == 1U);
}

std::vector<int> seeds()
{
    std::vector<int> values(40);
    std::iota(values.begin(), values.end(), 0);
    return values;
}

configuration_command randomCommand(std::mt19937_64& random, uint64_t revision)
{
    auto const pick = [&](uint64_t count) { return random() % count; };
    auto const id = "q" + std::to_string(pick(400));
    uint64_t const base = revision + 1 - std::min(revision + 1, pick(3));
    switch (pick(3)) {
    case 0:
        return withChange(id, base, slotsException());
    case 1:
        return withChange(id, base, slotsRemoval);
    default:
        return replaceCommand(id, base, twoServices(", slots: " + std::to_string(1 + pick(4))));
    }
}

// Guards against a record that is removed from the table of request ids although a late resend of its request could be
// executed a second time. The table is much smaller than the number of requests, resends arrive at any time, and the
// test compares their results with the first ones. Also guards against state that differs after snapshot and replay.
BOOST_DATA_TEST_CASE(no_resend_is_executed_twice_with_a_small_table, seeds(), seed)
{
    state_machine_limits const limits { 16, 50 };
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    configuration_state_machine machine(limits);
    configuration_state_machine replayed(limits);
    std::vector<configuration_command> sent;
    std::map<std::string, command_result> firstResults;
    for (int step = 0; step < 600; ++step) {
        bool const isResend = !sent.empty() && random() % 3 == 0;
        auto command = isResend ? sent[random() % sent.size()] : randomCommand(random, machine.current().revision);
        command.requestId = isResend ? command.requestId : "id" + std::to_string(step);
        command.time += std::chrono::seconds(step);
        auto const revision = machine.current().revision;
        auto const result = machine.apply(command.encode());
        BOOST_TEST((replayed.apply(command.encode()) == result));
        if (auto const first = firstResults.find(command.requestId); first != firstResults.end()) {
            BOOST_TEST_CONTEXT("step " << step << " request " << command.requestId)
            {
                BOOST_TEST(machine.current().revision == revision);
                BOOST_TEST((result == first->second || !result.isAccepted() || result.message == "no change"));
                bool const reportsRefusal = !result.isAccepted() && result.error != error_kind::FailedPrecondition;
                BOOST_TEST(
                    !(first->second.isAccepted() && first->second.revision > command.baseRevision && reportsRefusal));
            }
        } else {
            // After Unavailable the request is not recorded; a resend may be accepted.
            if (result.error != error_kind::Unavailable)
                firstResults.emplace(command.requestId, result);
            sent.push_back(command);
        }
        if (random() % 50 == 0) {
            configuration_state_machine restored(limits);
            BOOST_REQUIRE(restored.restore(replayed.snapshot()).ok());
            replayed = std::move(restored);
        }
    }
    BOOST_TEST(machine.current().revision > 20U);
    BOOST_TEST(machine.snapshot() == replayed.snapshot());
}

std::vector<std::string> damagedSnapshots()
{
    configuration_state_machine machine;
    machine.apply(replaceCommand("a", 0, twoServices()).encode());
    auto const validSnapshot = machine.snapshot();
    auto wrongKey = validSnapshot;
    wrongKey.replace(wrongKey.find("witness_count"), 7, "wetness");
    return { "", "x", validSnapshot.substr(0, validSnapshot.size() / 2), wrongKey };
}

// Guards against a member that restores a damaged snapshot partially.
BOOST_AUTO_TEST_CASE(damaged_snapshot_is_refused_and_keeps_the_state)
{
    for (auto const& bytes : damagedSnapshots()) {
        configuration_state_machine machine;
        machine.apply(replaceCommand("b", 0, servicesYaml(serviceYaml("orders", "127.0.9.9"))).encode());
        auto const before = machine.snapshot();
        auto const status = machine.restore(bytes);
        BOOST_TEST(!status.ok());
        BOOST_CHECK(errorKindOf(status) == error_kind::DataLoss);
        BOOST_TEST(machine.snapshot() == before);
    }
}

// Guards against an audit query that skips or repeats entries at the boundaries of its range.
BOOST_AUTO_TEST_CASE(audit_range_is_inclusive_and_bounded)
{
    configuration_state_machine machine(state_machine_limits { 16, 5 });
    for (int index = 0; index < 8; ++index)
        machine.apply(replaceCommand("q" + std::to_string(index), 99, "{}").encode());
    auto const sequences = [&](audit_query const& query) {
        std::vector<uint64_t> result;
        for (auto const& entry : machine.audit(query).entries)
            result.push_back(entry.sequence);
        return result;
    };
    using list = std::vector<uint64_t>;
    BOOST_TEST(machine.audit({}).firstKept == 4U);
    BOOST_TEST(machine.audit({}).next == 9U);
    BOOST_TEST((sequences({}) == list { 4, 5, 6, 7, 8 }));
    BOOST_TEST((sequences({ 5, 7, 2 }) == list { 5, 6 }));
    BOOST_TEST((sequences({ 1, 4, 10 }) == list { 4 }));
    BOOST_TEST((sequences({ 9, 20, 10 }) == list {}));
    BOOST_TEST((sequences({ 6, 5, 10 }) == list {}));
    BOOST_TEST((sequences({ std::nullopt, UINT64_MAX, 2 }) == list { 7, 8 }));
    BOOST_TEST((sequences({ std::nullopt, 5, 10 }) == list { 4, 5 }));
    BOOST_TEST((sequences({ std::nullopt, 2, 10 }) == list {}));
    BOOST_TEST((sequences({ std::nullopt, 0, 10 }) == list {}));
}

// Guards against an audit trail of large changes that exhausts the memory of a control host.
BOOST_AUTO_TEST_CASE(audit_trail_is_bounded_in_bytes)
{
    configuration_state_machine machine(state_machine_limits { 16, 1000, 3000 });
    for (int index = 0; index < 100; ++index) {
        auto command = replaceCommand("q" + std::to_string(index), 99, "{}");
        command.reason = std::string(400, 'r');
        machine.apply(command.encode());
    }
    auto const page = machine.audit({});
    BOOST_TEST(page.next == 101U);
    BOOST_TEST(page.firstKept > 90U);
    BOOST_TEST(page.entries.size() > 2U);
    configuration_state_machine restored(state_machine_limits { 16, 1000, 3000 });
    BOOST_REQUIRE(restored.restore(machine.snapshot()).ok());
    auto const last = replaceCommand("last", 99, "{}").encode();
    BOOST_TEST((restored.apply(last) == machine.apply(last)));
    BOOST_TEST(restored.snapshot() == machine.snapshot());
}

} // namespace
