// Warnings about valid configurations.
#include <Configuration/configuration_reader.h>
#include <Configuration/configuration_review.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace bilberryyard;

namespace {

struct review_row {
    char const* name;
    /// Added to a service in YAML flow style.
    char const* service;
    char const* defaults;
    char const* exceptions;
    std::vector<std::string> paths;
};
std::ostream& operator<<(std::ostream& stream, review_row const& row) { return stream << row.name; }

review_row const reviewRows[] = {
    { "clean", ", slots: 3", "", "", {} },
    { "override equal to the default", ", slots: 2", "", "", { "services[0].slots" } },
    { "override that an exception replaces", ", slots: 3", "",
        "  - {target: service/orders, key: slots, value: 4, reason: r, author: a}\n", { "services[0].slots" } },
    { "exception with the value of the default", "", "",
        "  - {target: service/orders, key: slots, value: 2, reason: r, author: a}\n", { "exceptions[0]" } },
    { "exception on a server with the value of its service", ", slots: 3", "",
        "  - {target: \"server/127.0.0.1:80\", key: slots, value: 3, reason: r, author: a}\n", { "exceptions[0]" } },
    { "slots beyond the connections", ", slots: 5, connection_limit: 4", "", "", { "services[0]" } },
    { "slots of a server beyond the connections", ", connection_limit: 4", "",
        "  - {target: \"server/127.0.0.1:80\", key: slots, value: 5, reason: r, author: a}\n", { "exceptions[0]" } },
    { "contradicting defaults are reported once", "", "  lease: 1s\n", "", { "defaults" } },
};

// Guards against entries without effect, and limits that contradict each other, that an operator sends unnoticed.
BOOST_DATA_TEST_CASE(entries_without_effect_and_contradictions_are_reported, reviewRows, row)
{
    auto const yaml = "defaults:\n  retry_after: 1s\n" + std::string(row.defaults)
        + "services:\n  - {name: orders, addresses: [127.0.1.1], port: 80, protocol: tcp" + row.service + "}\n"
        + (*row.exceptions ? "exceptions:\n" : "") + row.exceptions;
    auto const value = configuration_reader("test").read(yaml);
    BOOST_REQUIRE_MESSAGE(value.ok(), value.status());
    std::vector<std::string> paths;
    for (auto const& warning : reviewConfiguration(*value))
        paths.push_back(warning.path);
    BOOST_CHECK_EQUAL_COLLECTIONS(paths.begin(), paths.end(), row.paths.begin(), row.paths.end());
}

BOOST_AUTO_TEST_CASE(configuration_without_services_is_reported)
{
    auto const warnings = reviewConfiguration(configuration());
    BOOST_REQUIRE(warnings.size() == 1u);
    BOOST_TEST(warnings[0].path == "services");
}

} // namespace
