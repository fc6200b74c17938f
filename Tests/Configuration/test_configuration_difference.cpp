#include "configuration_samples.h"

#include <Configuration/configuration_difference.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

struct difference_row {
    std::string replaced;
    std::string replacement;
    char const* line;
};

std::ostream& operator<<(std::ostream& stream, difference_row const& row) { return stream << row.line; }

difference_row const rows[] = {
    { "15m", "20m", "~ defaults.flow_idle_timeout: 900s -> 1200s" },
    { "  - name: south\n", "", "- zones.south: name south, id unassigned" },
    { "port: 8080\n    protocol: udp", "port: 8081\n    protocol: udp", "~ services.gallery.port: 8080 -> 8081" },
    { "name: orders", "name: purchases", "~ services.orders.name: orders -> purchases" },
    { "127.0.1.1, ", "", "~ services.orders.addresses: 127.0.1.1 2001:db8::1 -> 2001:db8::1" },
    { "      cold_start_seconds: 20\n", "", "- services.orders.cold_start_seconds: 20" },
    { "value: 5", "value: 6", "~ exceptions.server/127.0.2.1:6080.slots.value: 5 -> 6" },
    { "exceptions:\n", "exceptions:\n  - {target: service/orders, key: weight, value: 1.5, reason: r, author: a}\n",
        "+ exceptions.service/orders.weight: value 1.5, reason r, author a" },
};

// Guards against a dry run or an audit entry that omits a change or reports it incorrectly.
BOOST_DATA_TEST_CASE(one_change_gives_one_line, rows, row)
{
    std::string text = sampleYaml;
    text.replace(text.find(row.replaced), row.replaced.size(), row.replacement);
    auto const after = configuration_reader("after").read(text);
    BOOST_REQUIRE_MESSAGE(after.ok(), after.status().ToString());
    auto const lines = configuration_difference(sampleConfiguration(), *after).lines();
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_TEST(lines[0] == row.line);
    BOOST_TEST(configuration_difference(*after, *after).isEmpty());
}

} // namespace
