#include <Consensus/group_planner.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

constexpr auto responsive = std::chrono::milliseconds(50);
constexpr auto unresponsive = std::chrono::milliseconds(2'500);

member_status memberOf(
    uint32_t number, char const* zone, member_role role, duration timeSinceLastResponse = responsive, int token = 0)
{
    auto const host = "10.0.0." + std::to_string(number) + ":7720";
    return { member_id { number }, role, host, zone, host + " " + std::to_string(token), timeSinceLastResponse };
}

group_applicant applicantOf(uint32_t number, int token)
{
    auto const host = "10.0.0." + std::to_string(number) + ":7720";
    return { host + " " + std::to_string(token), host };
}

membership_change changeOf(membership_change_kind kind, uint32_t member, std::string address = {})
{
    return { kind, member_id { member }, std::move(address) };
}

constexpr auto voter = member_role::Voter;
constexpr auto learner = member_role::Learner;
using kind = membership_change_kind;

struct plan_row {
    char const* name;
    uint32_t toleratedLosses;
    std::vector<member_status> members;
    std::vector<group_applicant> applicants;
    std::optional<membership_change> change;
};
std::ostream& operator<<(std::ostream& stream, plan_row const& row) { return stream << row.name; }

plan_row const planRows[] = {
    { "a full group needs no change", 1, { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter) },
        {}, std::nullopt },
    { "a new host becomes a learner", 1, { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter) },
        { applicantOf(4, 77) }, changeOf(kind::AddLearner, 9, "10.0.0.4:7720 77") },
    { "an admitted host that repeats its request is not added twice", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter),
            memberOf(4, "d", learner, responsive, 77) },
        { applicantOf(4, 77) }, std::nullopt },
    { "the former member of a host that lost its disk is removed first", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter) }, { applicantOf(3, 77) },
        changeOf(kind::Remove, 3) },
    { "a learner that lost its disk is removed before it joins again", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter),
            memberOf(4, "d", learner, responsive, 77) },
        { applicantOf(4, 78) }, changeOf(kind::Remove, 4) },
    { "the leader never removes itself", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter) }, { applicantOf(1, 77) },
        std::nullopt },
    { "a group that is too small promotes a learner", 2,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter), memberOf(4, "a", learner) }, {},
        changeOf(kind::Promote, 4) },
    { "a learner in a zone without a voter is preferred", 2,
        { memberOf(1, "a", voter), memberOf(2, "a", voter), memberOf(3, "b", voter), memberOf(4, "a", learner),
            memberOf(5, "c", learner) },
        {}, changeOf(kind::Promote, 5) },
    { "a learner is promoted to replace an unresponsive voter", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter, unresponsive), memberOf(3, "c", voter),
            memberOf(4, "d", learner) },
        {}, changeOf(kind::Promote, 4) },
    { "an unresponsive voter is removed once it is replaced", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter, unresponsive), memberOf(3, "c", voter),
            memberOf(4, "d", voter) },
        {}, changeOf(kind::Remove, 2) },
    { "an unresponsive voter without a replacement stays a member", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter, unresponsive), memberOf(3, "c", voter) }, {}, std::nullopt },
    { "an unresponsive learner is not promoted", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter, unresponsive), memberOf(3, "c", voter),
            memberOf(4, "d", learner, unresponsive) },
        {}, std::nullopt },
    { "a replacement is promoted before the unresponsive voter is removed", 1,
        { memberOf(1, "a", voter, unresponsive), memberOf(2, "b", voter), memberOf(3, "c", voter),
            memberOf(4, "a", learner) },
        {}, changeOf(kind::Promote, 4) },
    { "a learner is removed after the learner timeout", 1,
        { memberOf(1, "a", voter), memberOf(2, "b", voter), memberOf(3, "c", voter),
            memberOf(4, "d", learner, std::chrono::seconds(21)) },
        {}, changeOf(kind::Remove, 4) },
};

// Guards against a group that stays too small, grows without limit, or counts the vote of a member that lost its disk.
BOOST_DATA_TEST_CASE(planner_chooses_next_membership_change, planRows, row)
{
    group_planner_settings settings;
    settings.toleratedLosses = row.toleratedLosses;
    auto const change = planGroupChange(settings, row.members, member_id { 1 }, member_id { 9 }, row.applicants);
    BOOST_CHECK(change == row.change);
}

// Guards against two groups that are bootstrapped from the same list of addresses in different order.
BOOST_AUTO_TEST_CASE(bootstrap_group_ignores_address_order)
{
    auto const first = bootstrapGroup({ "10.0.0.1:7720 0", "10.0.0.2:7720 0", "10.0.0.3:7720 0" });
    auto const second = bootstrapGroup({ "10.0.0.3:7720 0", "10.0.0.1:7720 0", "10.0.0.2:7720 0" });
    auto const other = bootstrapGroup({ "10.0.0.1:7720 0", "10.0.0.2:7720 0", "10.0.0.4:7720 0" });
    BOOST_TEST(first.cluster == second.cluster);
    BOOST_CHECK(first.members == second.members);
    BOOST_TEST(first.cluster != other.cluster);
}

BOOST_AUTO_TEST_CASE(voters_survive_the_tolerated_losses)
{
    BOOST_TEST(votersFor(0) == 3u);
    BOOST_TEST(votersFor(1) == 3u);
    BOOST_TEST(votersFor(2) == 5u);
}

} // namespace
