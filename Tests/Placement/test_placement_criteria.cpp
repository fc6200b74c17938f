// The order in which placement gives up what it requires of a server.
#include <Placement/placement_criteria.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace bilberryyard;
using enum placement_criterion;

namespace {

struct level_row {
    char const* name;
    placement_criteria met;
    std::optional<size_t> level;
};
std::ostream& operator<<(std::ostream& stream, level_row const& row) { return stream << row.name; }

level_row const levelRows[] = {
    { "all criteria", placement_criteria::of(Permitted, Ready, Announced, Responsive, Trusted), 0 },
    { "responses look incomplete", placement_criteria::of(Permitted, Ready, Announced, Responsive), 1 },
    { "ejected", placement_criteria::of(Permitted, Ready, Announced, Trusted), 2 },
    { "ejected, incomplete responses", placement_criteria::of(Permitted, Ready, Announced), 2 },
    { "announcement missing", placement_criteria::of(Permitted, Ready, Responsive, Trusted), 3 },
    { "announcement missing, ejected", placement_criteria::of(Permitted, Ready), 3 },
    { "recently draining", placement_criteria::of(Permitted, RecentlyDraining, Announced, Responsive, Trusted), 4 },
    { "draining for long", placement_criteria::of(Permitted, Announced, Responsive, Trusted), std::nullopt },
    { "not permitted", placement_criteria::of(Ready, Announced, Responsive, Trusted), std::nullopt },
    { "not permitted, draining", placement_criteria::of(RecentlyDraining), std::nullopt },
};

// Guards against a level that accepts a server which a rule excludes, or prefers one that gives callers less.
BOOST_DATA_TEST_CASE(server_meets_the_strictest_level_of_its_criteria, levelRows, row)
{
    BOOST_CHECK(strictestLevel(row.met) == row.level);
}

// Every level but the last requires what the next one does, so dropping a criterion never excludes a server.
BOOST_AUTO_TEST_CASE(each_level_of_ready_servers_contains_the_next)
{
    for (size_t index = 0; index + 2 < placementLevels.size(); ++index)
        BOOST_TEST(placementLevels[index].required.contains(placementLevels[index + 1].required));
}

} // namespace
