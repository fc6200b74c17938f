#include "operator_process.h"
#include "test_host.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

using string_list = std::vector<std::string>;

std::string const firstYaml = "services:\n  - {name: orders, addresses: [127.0.1.1], port: 80, protocol: tcp}\n";

std::string yamlWithSlots(int slots)
{
    return "services:\n  - {name: orders, addresses: [127.0.1.1], port: 80, protocol: tcp, slots: "
        + std::to_string(slots) + "}\n";
}

process_outcome runAt(test_host const& host, string_list arguments)
{
    arguments.push_back("--endpoint=" + host.address());
    return runOperator(arguments);
}

process_outcome applyFirstConfiguration(test_host const& host)
{
    auto const outcome
        = runAt(host, { "apply", "--from", temporaryFile(firstYaml), "--reason", "first", "--base", "0" });
    BOOST_REQUIRE_MESSAGE(outcome.exitCode == 0, outcome.errors);
    return outcome;
}

bool contains(std::string const& text, std::string const& part) { return text.find(part) != std::string::npos; }

struct error_kind_row {
    char const* name;
    int exitCode;
};

std::ostream& operator<<(std::ostream& stream, error_kind_row const& row) { return stream << row.name; }

error_kind_row const errorKinds[] = {
    { "invalid_argument", 64 },
    { "not_found", 66 },
    { "conflict", 73 },
    { "unavailable", 69 },
    { "not_leader", 75 },
    { "deadline_exceeded", 74 },
    { "resource_exhausted", 71 },
    { "failed_precondition", 78 },
    { "data_loss", 65 },
    { "permission_denied", 77 },
    { "internal", 70 },
};

// Guards against error kinds that scripts cannot distinguish by the exit code.
BOOST_DATA_TEST_CASE(error_kind_gives_its_exit_code, errorKinds, row)
{
    test_host host;
    auto const kind = errorKindByName(row.name).value();
    host.setHandler(
        [&](http_request const& request) { return makeErrorResponse(request, makeError(kind, "the reason")); });
    auto const outcome = runAt(host, { "status", "--timeout", "300ms" });
    BOOST_TEST(outcome.exitCode == row.exitCode);
    BOOST_TEST(outcome.errors == "bilberryyard: " + std::string(row.name) + ": the reason\n");
    BOOST_TEST(outcome.output.empty());
}

struct arguments_row {
    string_list arguments;
    char const* message;
};

std::ostream& operator<<(std::ostream& stream, arguments_row const& row) { return stream << row.message; }

std::vector<arguments_row> const invalidArguments = {
    { {}, "did not match" },
    { { "stats" }, "did not match" },
    { { "exception", "add", "service/orders", "slots", "3" }, "exception add TARGET KEY VALUE --reason=TEXT" },
    { { "exception", "add", "service/orders", "slots", "3", "--reason", " " }, "--reason must not be empty" },
    { { "exception", "add", "service/orders", "slot", "3", "--reason", "r" }, "did you mean 'slots'?" },
    { { "exception", "add", "service/orders", "slots", "many", "--reason", "r" }, "'many' is not allowed" },
    { { "exception", "add", "service/other", "slots", "3", "--reason", "r" }, "there is no service 'other'" },
    { { "drain", "127.0.0.1", "--reason", "r" }, "'127.0.0.1' is no address and port" },
    { { "apply", "--from", "x", "--reason", "r", "--base", "new" }, "--base: 'new' is not a revision number" },
    { { "drain", "127.0.0.1:1", "--reason", "r", "--request-id", "x" }, "--request-id needs --base" },
    { { "drain", "127.0.0.1:1", "--reason", "r", "--request-id", "x y", "--base", "1" }, "--request-id: 1 to 128" },
    { { "status", "--output", "json" }, "--output: 'json' is not allowed" },
    { { "status", "--timeout", "3" }, "the unit is missing" },
    { { "explain", "tcp" }, "'tcp' is no flow" },
    { { "audit", "--limit", "5000" }, "query parameter limit" },
    { { "get", "--server", "127.0.0.1:1" }, "needs the parameter service" },
    { { "member", "remove", "0", "--reason", "r" }, "a host number is" },
};

// Guards against a mistyped command that is executed, or that is rejected without a reason.
BOOST_DATA_TEST_CASE(invalid_arguments_are_rejected_and_change_nothing, invalidArguments, row)
{
    test_host host;
    applyFirstConfiguration(host);
    auto const before = host.backend().read();
    auto const outcome = runAt(host, row.arguments);
    BOOST_TEST(outcome.exitCode == 64);
    BOOST_TEST(contains(outcome.errors, row.message), outcome.errors);
    BOOST_TEST(outcome.output.empty());
    // A change that only the state machine can reject leaves an audit entry, so the snapshots may differ.
    BOOST_TEST(host.backend().revision() == before->revision);
    BOOST_TEST((*host.backend().read()->value == *before->value));
}

// Guards against an error in a file that only the host detects, whose message lacks the operator's path.
BOOST_AUTO_TEST_CASE(error_in_file_is_reported_before_anything_is_sent)
{
    auto const path = temporaryFile("services:\n  - {nam: orders}\n");
    auto const outcome
        = runOperator({ "apply", "--from", path, "--reason", "r", "--base", "0", "--endpoint=127.0.0.1:1" });
    BOOST_TEST(outcome.exitCode == 64);
    BOOST_TEST(outcome.errors
        == "bilberryyard: invalid_argument: " + path + ":2: services[0].nam: unknown key; did you mean 'name'?\n");
    BOOST_TEST(
        runOperator({ "apply", "--from", "/nonexistent", "--reason", "r", "--base", "0", "--endpoint=127.0.0.1:1" })
            .exitCode
        == 66);
}

struct check_row {
    char const* name;
    std::string yaml;
    string_list arguments;
    int exitCode;
    /// Part of the output; FILE stands for the path.
    std::string output;
};
std::ostream& operator<<(std::ostream& stream, check_row const& row) { return stream << row.name; }

check_row const checkRows[] = {
    { "clean", firstYaml, {}, 0, "valid\n" },
    { "error", "services:\n  - {nam: orders}\n", {}, 64, "error: FILE:2: services[0].nam: unknown key" },
    { "warning", yamlWithSlots(2), {}, 1, "warning: FILE:2: services[0].slots: has no effect" },
    { "warning as JSON", yamlWithSlots(2), { "--json" }, 1,
        R"("warnings":["FILE:2: services[0].slots: has no effect)" },
    { "error as JSON", "services:\n  - {nam: orders}\n", { "--json" }, 64, R"({"error":"FILE:2: services[0].nam)" },
    { "difference", yamlWithSlots(7), { "--against", temporaryFile(firstYaml) }, 0, "+ services.orders.slots: 7" },
    { "no difference", firstYaml, { "--against", temporaryFile(firstYaml) }, 0, "no difference" },
};

// Guards against a check of a configuration that needs a deployment, or that misses what a host would refuse.
BOOST_DATA_TEST_CASE(configuration_is_checked_without_a_deployment, checkRows, row)
{
    auto const path = temporaryFile(row.yaml);
    string_list arguments { "check-configuration", "--from", path };
    arguments.insert(arguments.end(), row.arguments.begin(), row.arguments.end());
    auto const outcome = runOperator(arguments);
    BOOST_TEST(outcome.exitCode == row.exitCode, outcome.errors);
    auto expected = row.output;
    if (auto const position = expected.find("FILE"); position != std::string::npos)
        expected.replace(position, 4, path);
    BOOST_TEST(contains(outcome.output, expected), outcome.output);
}

// Guards against a check that changes the deployment it compares with.
BOOST_AUTO_TEST_CASE(configuration_is_compared_with_the_one_in_force)
{
    test_host host;
    applyFirstConfiguration(host);
    auto const outcome = runAt(host, { "check-configuration", "--from", temporaryFile(yamlWithSlots(7)) });
    BOOST_TEST(outcome.exitCode == 0, outcome.errors);
    BOOST_TEST(contains(outcome.output, "+ services.orders.slots: 7"), outcome.output);
    BOOST_TEST(host.backend().revision() == 1u);
}

struct unreadable_row {
    char const* name;
    string_list arguments;
    int exitCode;
};
std::ostream& operator<<(std::ostream& stream, unreadable_row const& row) { return stream << row.name; }

unreadable_row const unreadableRows[] = {
    { "missing file", { "--from", "/nonexistent" }, 66 },
    { "missing file to compare with", { "--from", temporaryFile(firstYaml), "--against", "/nonexistent" }, 66 },
    { "invalid file to compare with",
        { "--from", temporaryFile(firstYaml), "--against", temporaryFile("services: 3\n") }, 64 },
    { "host that does not respond",
        { "--from", temporaryFile(firstYaml), "--endpoint=127.0.0.1:1", "--timeout", "200ms" }, 69 },
};

// Guards against a check that reports a configuration as valid although it could not read what it needs.
BOOST_DATA_TEST_CASE(check_of_unreadable_input_fails, unreadableRows, row)
{
    string_list arguments { "check-configuration" };
    arguments.insert(arguments.end(), row.arguments.begin(), row.arguments.end());
    auto const outcome = runOperator(arguments);
    BOOST_TEST(outcome.exitCode == row.exitCode, outcome.errors);
    BOOST_TEST(outcome.output.empty());
}

BOOST_AUTO_TEST_CASE(help_and_version_succeed)
{
    auto const help = runOperator({ "--help" });
    BOOST_TEST(help.exitCode == 0);
    for (auto const* word : { "status", "get", "apply --from=FILE --reason=TEXT --base=REVISION [--dry-run]",
             "exception add", "exception remove", "explain FLOW", "audit", "drain SERVER", "member add",
             "member remove", "member list", "metrics", "--output=FORMAT" })
        BOOST_TEST(contains(help.output, word), word);
    BOOST_TEST(runOperator({ "--version" }).output.starts_with("bilberryyard "));
}

// Guards against two operators who both believe that their change was made (F5).
BOOST_AUTO_TEST_CASE(one_of_eight_concurrent_changes_is_accepted)
{
    test_host host;
    applyFirstConfiguration(host);
    std::vector<operator_process> processes;
    for (int index = 0; index < 8; ++index)
        processes.emplace_back(string_list { "apply", "--from", temporaryFile(yamlWithSlots(10 + index)), "--reason",
                                   "race", "--base", "1", "--endpoint", host.address() },
            string_list { "BILBERRYYARD_AUTHOR=operator-" + std::to_string(index) });
    int acceptedChanges = 0;
    for (auto& process : processes) {
        auto const outcome = process.wait();
        acceptedChanges += outcome.exitCode == 0 ? 1 : 0;
        if (outcome.exitCode != 0) {
            BOOST_TEST(outcome.exitCode == 73);
            BOOST_TEST(contains(outcome.errors, "revision 2 by operator-"), outcome.errors);
            BOOST_TEST(contains(outcome.errors, "+ services.orders.slots: 1"), outcome.errors);
        }
    }
    BOOST_TEST(acceptedChanges == 1);
    BOOST_TEST(host.backend().revision() == 2U);
}

// Guards against a change that is made twice or reported as failed because its response was lost (F5).
BOOST_AUTO_TEST_CASE(request_without_response_is_resent_to_the_next_host_with_the_same_id)
{
    test_host host;
    response_dropping_host const droppingHost([&](std::string const& body) {
        host.handle({ "POST", "/v1/changes", {}, {}, body });
    });
    auto const outcome = runOperator({ "apply", "--from", temporaryFile(firstYaml), "--reason", "first", "--base", "0",
        "--endpoint", droppingHost.address(), "--endpoint", host.address() });
    BOOST_TEST(outcome.exitCode == 0, outcome.errors);
    BOOST_TEST(droppingHost.requests() == 1);
    BOOST_TEST(host.backend().appliedProposals() == 2);
    BOOST_TEST(host.backend().revision() == 1U);
    BOOST_TEST(host.backend().audit({})->entries.size() == 1U);
}

// Guards against a change whose outcome is unknown being reported as failed, and against a later resend executing it a
// second time.
BOOST_AUTO_TEST_CASE(change_with_unknown_outcome_can_be_completed_with_its_request_id)
{
    test_host host;
    response_dropping_host const droppingHost([&](std::string const& body) {
        host.handle({ "POST", "/v1/changes", {}, {}, body });
    });
    auto const file = temporaryFile(firstYaml);
    string_list const arguments { "apply", "--from", file, "--reason", "first", "--base", "0" };
    auto argumentsWithoutResponse = arguments;
    argumentsWithoutResponse.insert(
        argumentsWithoutResponse.end(), { "--endpoint", droppingHost.address(), "--timeout", "500ms" });
    auto const outcomeUnknown = runOperator(argumentsWithoutResponse);
    BOOST_TEST(outcomeUnknown.exitCode == 69);
    std::string const hint = "repeat the command with --request-id ";
    BOOST_REQUIRE_MESSAGE(contains(outcomeUnknown.errors, hint), outcomeUnknown.errors);
    auto id = outcomeUnknown.errors.substr(outcomeUnknown.errors.find(hint) + hint.size());
    BOOST_TEST(contains(id, " --base 0"), id);
    id = id.substr(0, id.find(' '));
    auto resendArguments = arguments;
    resendArguments.insert(resendArguments.end(), { "--endpoint", host.address(), "--request-id", id });
    auto const completed = runOperator(resendArguments);
    BOOST_TEST(completed.exitCode == 0, completed.errors);
    BOOST_TEST(contains(completed.output, "accepted: revision 1"));
    BOOST_TEST(host.backend().revision() == 1U);
    BOOST_TEST(droppingHost.requests() > 1);
}

// Guards against a command that fails at a host that is down or not the leader instead of trying the next one.
BOOST_AUTO_TEST_CASE(next_host_is_tried)
{
    test_host host;
    auto const firstDown = runOperator({ "apply", "--from", temporaryFile(firstYaml), "--reason", "first", "--base",
        "0", "--endpoint", "127.0.0.1:1", "--endpoint", host.address() });
    BOOST_TEST(firstDown.exitCode == 0, firstDown.errors);
    std::atomic<int> calls { 0 };
    host.setHandler([&](http_request const& request) {
        if (++calls == 1)
            return makeErrorResponse(request, makeError(error_kind::NotLeader, "no"));
        return host.handle(request);
    });
    auto const list = operator_process({ "status" }, { "BILBERRYYARD_ENDPOINTS=127.0.0.1:1," + host.address() }).wait();
    BOOST_TEST(list.exitCode == 0, list.errors);
    BOOST_TEST(calls == 2);
}

BOOST_AUTO_TEST_CASE(dry_run_shows_the_difference_only)
{
    test_host host;
    applyFirstConfiguration(host);
    auto const before = host.backend().snapshot();
    auto const outcome = runAt(
        host, { "apply", "--from", temporaryFile(yamlWithSlots(7)), "--reason", "r", "--base", "1", "--dry-run" });
    BOOST_TEST(outcome.exitCode == 0, outcome.errors);
    BOOST_TEST(contains(outcome.output, "would be accepted"), outcome.output);
    BOOST_TEST(contains(outcome.output, "+ services.orders.slots: 7"), outcome.output);
    auto const conflict = runAt(
        host, { "apply", "--from", temporaryFile(yamlWithSlots(7)), "--reason", "r", "--base", "0", "--dry-run" });
    BOOST_TEST(conflict.exitCode == 73);
    BOOST_TEST(host.backend().snapshot() == before);
}

struct output_row {
    string_list arguments;
    string_list lines;
};

std::ostream& operator<<(std::ostream& stream, output_row const& row) { return stream << row.arguments[0]; }

std::vector<output_row> const outputs = {
    { { "status" },
        { "host_id  zone    roles             condition       active_revision  age\n",
            "1        zone-a  balancer,control  leader          7                20ms\n",
            "2        zone-b  balancer          not heard from  -                9s\n" } },
    { { "status", "--output", "yaml" }, { "hosts:\n  - host_id: 1\n", "    roles:\n      - balancer\n" } },
    { { "get" }, { "# revision 1, current, confirmed 1500ms ago\n", "services:\n  - name: orders\n    id: 1\n" } },
    { { "get", "--service", "orders" }, { "flow_idle_timeout: 900s\n", "slots: 2\n" } },
    { { "get", "--service", "orders", "--server", "127.0.0.9:6080", "--output", "yaml" },
        { "server: \"127.0.0.9:6080" } },
    { { "audit" }, { "#1 2026-01-31T08:00:00.250Z ana: first\n  accepted, base 0, revision 1, request id cli-" } },
    { { "explain", "tcp 127.0.0.1:5 -> 127.0.1.1:80" },
        { "flow: \"tcp 127.0.0.1:5 -> 127.0.1.1:80\"\n", "service: o" } },
    { { "metrics" }, { "requests_total 1\n" } },
    { { "drain", "127.0.0.9:6080", "--reason", "replace disk" },
        { "accepted: revision 2, request id cli-",
            "+ exceptions.server/127.0.0.9:6080.drain: value true, reason replace "
            "disk, author ana\n" } },
    { { "exception", "add", "service/orders", "slots", "3", "--reason", "more cores", "--author", "ben" },
        { "+ exceptions.service/orders.slots: value 3, reason more cores, author ben\n" } },
    { { "member", "add", "7", "127.0.0.1:1", "127.0.0.1:2", "--reason", "r" },
        { "host_id  peer         distribution\n7        127.0.0.1:1  127.0.0.1:2\n" } },
    { { "member", "list" }, { "host_id  peer  distribution\n" } },
};

// Guards against values of a response that are missing from the printed output.
BOOST_DATA_TEST_CASE(response_is_printed, outputs, row)
{
    test_host host;
    applyFirstConfiguration(host);
    auto const outcome = runAt(host, row.arguments);
    BOOST_TEST(outcome.exitCode == 0, outcome.errors);
    for (auto const& line : row.lines)
        BOOST_TEST(contains(outcome.output, line), outcome.output);
}

// Guards against a drain that cannot be ended, and an exception that cannot be removed.
BOOST_AUTO_TEST_CASE(drain_and_exception_are_undone)
{
    test_host host;
    applyFirstConfiguration(host);
    BOOST_TEST(runAt(host, { "drain", "127.0.0.9:6080", "--reason", "r" }).exitCode == 0);
    BOOST_TEST(runAt(host, { "drain", "127.0.0.9:6080", "--reason", "r", "--undo" }).exitCode == 0);
    BOOST_TEST(runAt(host, { "exception", "remove", "service/orders", "slots", "--reason", "r" }).exitCode == 66);
    BOOST_TEST(host.backend().revision() == 3U);
    BOOST_TEST(host.backend().read()->value->exceptions().empty());
    BOOST_TEST(runAt(host, { "member", "add", "7", "127.0.0.1:1", "127.0.0.1:2", "--reason", "r" }).exitCode == 0);
    BOOST_TEST(runAt(host, { "member", "remove", "7", "--reason", "r" }).exitCode == 0);
    BOOST_TEST(host.backend().members()->empty());
}

// Guards against stale data that is shown as the latest (F4).
BOOST_AUTO_TEST_CASE(stale_data_needs_the_option)
{
    test_host host;
    applyFirstConfiguration(host);
    host.backend().setConsistency(read_consistency::Stale);
    auto const rejected = runAt(host, { "get", "--timeout", "300ms" });
    BOOST_TEST(rejected.exitCode == 69);
    BOOST_TEST(contains(rejected.errors, "confirmed 1500ms ago"), rejected.errors);
    auto const allowed = runAt(host, { "get", "--stale" });
    BOOST_TEST(allowed.exitCode == 0);
    BOOST_TEST(allowed.output.starts_with("# revision 1, possibly not the latest"));
}

} // namespace
