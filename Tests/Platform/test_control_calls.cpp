// Calls of the platform that a control host answers.
#include "../Fleet/control_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <platform/control_calls.h>

using namespace bilberryyard;

namespace {

struct call_row {
    char const* name;
    char const* method;
    std::string path;
    int status;
};
std::ostream& operator<<(std::ostream& stream, call_row const& row) { return stream << row.name; }

call_row const callRows[] = {
    { "start", "POST", "/Evacuate.Start/a", 200 },
    { "end without a start", "POST", "/Evacuate.End/a", 200 },
    { "zone of another deployment", "POST", "/Evacuate.Start/z", 400 },
    { "end for a zone of another deployment", "POST", "/Evacuate.End/z", 400 },
    { "no zone", "POST", "/Evacuate.Start", 400 },
    { "empty zone", "POST", "/Evacuate.Start/", 400 },
    { "path below a zone", "POST", "/Evacuate.Start/a/b", 400 },
    { "line break in the zone", "POST", "/Evacuate.Start/a\nb", 400 },
    { "long zone", "POST", "/Evacuate.Start/" + std::string(4'000, 'a'), 400 },
    { "wrong method", "GET", "/Evacuate.Start/a", 405 },
    { "unknown call", "POST", "/Evacuate.Stop/a", 404 },
    { "call with a longer name", "POST", "/Evacuate.Started/a", 404 },
};

// Guards against an order that is refused with a status that makes the operator repeat it, or accepted for nothing.
BOOST_DATA_TEST_CASE_F(control_fixture, evacuation_calls_get_a_clear_status, callRows, row)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, std::chrono::seconds(8)).status.ok());
    auto const router = platform::makeControlRouter(*host.service, 27'922);
    http_request request;
    request.method = row.method;
    request.path = row.path;
    BOOST_TEST(router.handle(request).status == row.status);
}

// Guards against silence, or a status that ends the call, where no majority can commit the order.
BOOST_FIXTURE_TEST_CASE(evacuation_without_a_majority_is_refused_as_unavailable, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1, 2, 3 }), metrics);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    auto const router = platform::makeControlRouter(*host.service, 27'922);
    http_request request;
    request.method = "POST";
    request.path = "/Evacuate.Start/a";
    auto const sentAt = bootTime();
    BOOST_TEST(router.handle(request).status == 503);
    BOOST_CHECK(bootTime() - sentAt < std::chrono::seconds(1));
}

} // namespace
