#include "directory_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

enum class reporting_host : uint8_t {
    /// Neither the receiver nor the sender knows to which control host the server announced itself.
    Unknown,
    First,
    Second,
};

struct report_row {
    char const* name;
    /// Control host that the page names as the announcer of the server; the first one sends the page.
    reporting_host announcer;
    uint64_t sequence;
    int ageMs;
    bool isLate;
    /// Control host whose lease renews the server afterwards.
    reporting_host expected;
};
std::ostream& operator<<(std::ostream& stream, report_row const& row) { return stream << row.name; }

report_row const reportRows[] = {
    { "restored record without an announcer", reporting_host::Unknown, 4, 4'000, false, reporting_host::Second },
    { "restored record with the sequence number that is known", reporting_host::Unknown, 1, 4'000, false,
        reporting_host::Second },
    { "late at the control host that it left", reporting_host::First, 4, 7'000, true, reporting_host::Second },
    { "not yet late at the control host that it left", reporting_host::First, 4, 5'100, false, reporting_host::Second },
    { "confirmed by the sender for the other control host", reporting_host::Second, 4, 100, false,
        reporting_host::Second },
    { "announced to the sender since", reporting_host::First, 9, 200, false, reporting_host::First },
};

// Guards against a page about a live server, from a control host that it has left, that ends its renewal by the one
// that it announces itself to: it then counts as timed out, and a late announcement takes its address from it.
BOOST_DATA_TEST_CASE_F(directory_fixture, page_ends_no_renewal_by_a_later_announcer, reportRows, row)
{
    directory_feed first({}, 5);
    directory_feed second({}, 6);
    directory_view view;
    first.announce(announcementOf(1, 1), at(0));
    view.apply(controlHost(1), *first.drainChanges(at(0)), at(0));
    second.recordElsewhere(announcementOf(1, 1));
    second.announce(announcementOf(1, 5), at(5'000));
    view.apply(controlHost(2), *second.drainChanges(at(5'000)), at(5'000));
    view.apply(controlHost(2), second.lease(), at(9'900));

    auto const index = row.announcer == reporting_host::Unknown ? 0U : static_cast<uint32_t>(row.announcer) - 1U;
    std::vector<feed_position> positions { { controlHost(1), 5, 1 }, { controlHost(2), 6, 1 } };
    if (row.announcer == reporting_host::Unknown)
        positions = { {} };
    directory_pages pages;
    aged_announcement const record { announcementOf(1, row.sequence), std::chrono::milliseconds(row.ageMs) };
    pages.assign({ { record, row.isLate, index } }, std::move(positions), server_scope::All);
    view.apply(controlHost(1), pages.pageAt({}, "zone-1"), at(10'000));

    view.apply(controlHost(1), first.lease(), at(12'000));
    view.apply(controlHost(2), second.lease(), at(13'000));
    bool const isSecond = row.expected == reporting_host::Second;
    BOOST_CHECK(view.livenessOf(idOf(1)).latest() == at(isSecond ? 13'000 : 12'000));
}

struct resumed_row {
    char const* name;
    /// Whether the control host reports, after it has resumed, that the earlier server at the address is late.
    bool isReportedLate;
    /// Whether the control host of the present server sends its liveness again.
    bool isRenewed;
};
std::ostream& operator<<(std::ostream& stream, resumed_row const& row) { return stream << row.name; }

resumed_row const resumedRows[] = {
    { "earlier server reported as late", true, false },
    { "present server renewed", false, true },
};

// Guards against a dead server that keeps an address, and the flows of the server that has it now are reset, because
// its control host was suspended and renewed its lease for some seconds after it had resumed.
BOOST_DATA_TEST_CASE_F(directory_fixture, lease_of_a_resumed_host_displaces_no_server, resumedRows, row)
{
    auto const earlier = announcementOf(1, 1);
    auto present = announcementOf(2, 1);
    present.address = earlier.address;
    present.service = earlier.service;
    present.startedAtMs = earlier.startedAtMs + 3'000;
    directory_feed first({}, 5);
    directory_feed second({}, 6);
    directory_view view;
    view.setServices({ earlier.service }, at(0));
    first.announce(earlier, at(0));
    view.apply(controlHost(1), *first.drainChanges(at(0)), at(0));
    checkLate(first, 0, 400);
    // The first control host is suspended until 9 s. This host receives nothing from the second one after 4 s.
    second.announce(present, at(3'000));
    view.apply(controlHost(2), *second.drainChanges(at(3'000)), at(3'000));
    for (int time = 9'000; time <= 11'600; time += 400) {
        checkLate(first, time, time);
        view.apply(controlHost(1), first.lease(), at(time));
    }
    view.reevaluate(at(11'700));
    if (row.isReportedLate) {
        checkLate(first, 12'000, 12'000);
        view.apply(controlHost(1), *first.drainChanges(at(12'000)), at(12'000));
    }
    if (row.isRenewed) {
        second.contradictLate(present.id, at(0));
        view.apply(controlHost(2), *second.drainChanges(at(12'000)), at(12'000));
    }
    BOOST_CHECK(view.directory().find(present.id)->state() == backend_state::Ready);
    BOOST_CHECK(view.directory().find(earlier.id)->state() == backend_state::Gone);
}

// Guards against a server that has left and counts as alive while the control host that received its leave renews its
// lease: it takes its address back when the server that has the address now is not seen for 4 s, whose open flows are
// reset, and it is never removed.
BOOST_FIXTURE_TEST_CASE(lease_renews_no_server_that_has_left, directory_fixture)
{
    auto earlier = announcementOf(1, 1);
    auto present = announcementOf(2, 1);
    present.address = earlier.address;
    present.service = earlier.service;
    present.startedAtMs = earlier.startedAtMs + 3'000;
    directory_feed first({}, 5);
    directory_feed second({}, 6);
    directory_view view;
    view.setServices({ earlier.service }, at(0));
    first.announce(earlier, at(0));
    view.apply(controlHost(1), *first.drainChanges(at(0)), at(0));
    earlier.state = backend_state::Gone;
    first.announce(earlier, at(500));
    view.apply(controlHost(1), *first.drainChanges(at(500)), at(500));
    second.announce(present, at(3'000));
    view.apply(controlHost(2), *second.drainChanges(at(3'000)), at(3'000));
    view.apply(controlHost(1), first.lease(), at(8'000));
    view.reevaluate(at(8'000));
    BOOST_CHECK(view.directory().find(present.id)->state() == backend_state::Ready);
    view.apply(controlHost(1), first.lease(), at(121'000));
    BOOST_TEST((view.expire(at(121'000)) == std::vector<std::string> { earlier.id }));
}

// Guards against a control host whose lease is never applied, so that all its servers count as silent, because it has
// one record that is older than that of another control host.
BOOST_FIXTURE_TEST_CASE(outdated_record_ends_no_lease_of_its_control_host, directory_fixture)
{
    directory_feed first({}, 5);
    directory_feed second({}, 6);
    directory_view view;
    first.announce(announcementOf(2, 1), at(0));
    view.apply(controlHost(1), *first.drainChanges(at(0)), at(0));
    second.announce(announcementOf(1, 8, backend_state::Draining), at(1'000));
    view.apply(controlHost(2), *second.drainChanges(at(1'000)), at(1'000));
    // A delayed announcement of the server reaches the first control host, which has not received the change.
    first.recordElsewhere(announcementOf(1, 1));
    first.announce(announcementOf(1, 5), at(1'100));
    auto const changes = view.apply(controlHost(1), *first.drainChanges(at(1'100)), at(1'100));
    BOOST_CHECK(changes.isComplete == directory_view::completeness::UnknownServer);
    auto const missing = first.updateSince(0, 0, at(1'200));
    BOOST_CHECK(view.apply(controlHost(1), *missing, at(1'200)).isComplete == directory_view::completeness::Complete);
    BOOST_CHECK(
        view.apply(controlHost(1), first.lease(), at(1'600)).isComplete == directory_view::completeness::Complete);
    BOOST_CHECK(view.livenessOf(idOf(2)).latest() == at(1'600));
    BOOST_CHECK(view.directory().find(idOf(1))->state() == backend_state::Draining);
}

// Guards against the same fault by the token of a server that has left, of which receivers have a record without an
// address because they received the leave only.
BOOST_FIXTURE_TEST_CASE(server_that_has_left_is_not_renewed, directory_fixture)
{
    directory_feed feed({}, 5);
    feed.recordElsewhere(announcementOf(1, 1));
    feed.announce(announcementOf(1, 5), at(0));
    feed.drainChanges(at(0));
    feed.announce(announcementOf(1, 6, backend_state::Gone), at(500));
    auto const update = feed.updateSince(0, 0, at(600));
    BOOST_TEST(update->records.size() == 1u);
    BOOST_TEST(update->renewed.empty());
}

} // namespace
