// The replicated state of configuration documents and evacuated availability zones.
#include <Base/error_kind.h>
#include <Configuration/operator_state.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

using namespace bilberryyard;

namespace {

std::string document(uint64_t version) { return versioned_document { version, "text" }.encode(); }
std::string begin(std::string const& zone) { return evacuation_order { zone, evacuation_change::Begin }.encode(); }
std::string end(std::string const& zone) { return evacuation_order { zone, evacuation_change::End }.encode(); }

std::string afterRevision(evacuation_change change, uint64_t revision)
{
    return evacuation_order { "a", change, revision }.encode();
}

struct log_row {
    char const* name;
    std::vector<std::string> entries;
    uint64_t version;
    evacuated_zones evacuations;
};
std::ostream& operator<<(std::ostream& stream, log_row const& row) { return stream << row.name; }

log_row const logRows[] = {
    { "no entries", {}, 0, {} },
    { "evacuation before the first document", { begin("a") }, 0, { 1, { "a" } } },
    { "a later document ends no evacuation", { document(3), begin("a"), document(5) }, 5, { 1, { "a" } } },
    { "an overtaken document ends no evacuation", { document(5), begin("a"), document(3) }, 5, { 1, { "a" } } },
    { "a repeated order has no effect", { begin("a"), begin("a") }, 0, { 1, { "a" } } },
    { "orders take effect in the order of the log", { begin("a"), end("a"), begin("a") }, 0, { 3, { "a" } } },
    { "two operators, the end comes last", { begin("a"), begin("a"), end("a") }, 0, { 2, {} } },
    { "two zones", { begin("a"), begin("b"), end("a") }, 0, { 3, { "b" } } },
    { "end without a begin", { end("a") }, 0, {} },
    { "end in a new log, while hosts hold a revision of the lost one", { afterRevision(evacuation_change::End, 4) }, 0,
        { 5, {} } },
    { "begin in a new log", { afterRevision(evacuation_change::Begin, 4) }, 0, { 5, { "a" } } },
    { "repeated end in a new log",
        { afterRevision(evacuation_change::End, 4), afterRevision(evacuation_change::End, 5) }, 0, { 5, {} } },
    { "begin in a new log after an order that names no revision",
        { begin("a"), afterRevision(evacuation_change::Begin, 4) }, 0, { 5, { "a" } } },
};

// Guards against an evacuation that a configuration, a repeated order or the order of arrival undoes.
BOOST_DATA_TEST_CASE(entries_take_effect_in_the_order_of_the_log, logRows, row)
{
    operator_state state;
    for (auto const& entry : row.entries)
        BOOST_REQUIRE(state.apply(entry).ok());
    BOOST_TEST(state.document().version == row.version);
    BOOST_CHECK(state.evacuations() == row.evacuations);
}

// Guards against an evacuation that is lost with the log entries that a snapshot replaces.
BOOST_DATA_TEST_CASE(snapshot_restores_the_state, logRows, row)
{
    operator_state state;
    for (auto const& entry : row.entries)
        BOOST_REQUIRE(state.apply(entry).ok());
    operator_state restored;
    BOOST_REQUIRE(restored.apply(begin("other")).ok());
    BOOST_REQUIRE(restored.restore(state.snapshot()).ok());
    BOOST_CHECK(restored.document() == state.document());
    BOOST_CHECK(restored.evacuations() == state.evacuations());
}

// A member of the previous release reads the document from the start of a snapshot.
BOOST_AUTO_TEST_CASE(snapshot_without_evacuations_is_a_document)
{
    operator_state state;
    BOOST_REQUIRE(state.apply(document(7)).ok());
    BOOST_TEST(state.snapshot() == document(7));
}

struct damaged_row {
    char const* name;
    std::string bytes;
};
std::ostream& operator<<(std::ostream& stream, damaged_row const& row) { return stream << row.name; }

damaged_row const damagedRows[] = {
    { "shorter than a version", "abc" },
    { "unreadable order", versioned_document { 0, "\xff\xff" }.encode() },
    { "order without a zone", begin("") },
};

BOOST_DATA_TEST_CASE(damaged_entry_is_reported_and_changes_nothing, damagedRows, row)
{
    operator_state state;
    BOOST_REQUIRE(state.apply(begin("a")).ok());
    BOOST_CHECK(errorKindOf(state.apply(row.bytes).status()) == error_kind::DataLoss);
    BOOST_CHECK((state.evacuations() == evacuated_zones { 1, { "a" } }));
}

// Guards against a damaged snapshot that replaces the state.
BOOST_AUTO_TEST_CASE(damaged_snapshot_is_reported_and_changes_nothing)
{
    operator_state state;
    BOOST_REQUIRE(state.apply(begin("a")).ok());
    BOOST_CHECK(errorKindOf(state.restore("abc")) == error_kind::DataLoss);
    BOOST_CHECK(errorKindOf(state.restore(versioned_document { 0, "\xff\xff" }.encode())) == error_kind::DataLoss);
    BOOST_CHECK((state.evacuations() == evacuated_zones { 1, { "a" } }));
}

} // namespace
