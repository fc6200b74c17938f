#include <Membership/announcement_check.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace bilberryyard;

namespace {

backend_announcement sampleAnnouncement()
{
    return { "i-7f3a91c2", 0x7f3a91c2, "orders", { ip_address::fromIpv4(0x0a800009), 8'080 }, "a", "v1", 3,
        backend_state::Ready, 1785320285162, 4, {} };
}

struct defect_row {
    char const* name;
    std::function<void(backend_announcement&)> change;
    announcement_defect defect;
};
std::ostream& operator<<(std::ostream& stream, defect_row const& row) { return stream << row.name; }

std::string const tooLong(maximumAnnouncementText + 1, 'x');

defect_row const defectRows[] = {
    { "complete", [](auto&) {}, announcement_defect::None },
    { "text in UTF-8", [](auto& it) { it.zone = "Li\xc3\xa8ge \xf0\x9f\x8d\xbe"; }, announcement_defect::None },
    { "no zone and no version", [](auto& it) { it.zone = it.version = ""; }, announcement_defect::None },
    { "longest identifier", [](auto& it) { it.id = tooLong.substr(1); }, announcement_defect::None },
    { "identifier too long", [](auto& it) { it.id = tooLong; }, announcement_defect::Identifier },
    { "identifier that is no text", [](auto& it) { it.id = "\xff\xfe\x30"; }, announcement_defect::Identifier },
    { "identifier with a space", [](auto& it) { it.id = "i-1 state=3"; }, announcement_defect::Identifier },
    { "identifier with a line break", [](auto& it) { it.id = "i-1\n"; }, announcement_defect::Identifier },
    { "empty identifier", [](auto& it) { it.id = ""; }, announcement_defect::Identifier },
    { "empty service", [](auto& it) { it.service = ""; }, announcement_defect::Service },
    { "service that is no text", [](auto& it) { it.service = "\xc3("; }, announcement_defect::Service },
    { "zone too long", [](auto& it) { it.zone = tooLong; }, announcement_defect::Zone },
    { "version with a zero byte", [](auto& it) { it.version = std::string(1, 0); }, announcement_defect::Version },
    { "port 0", [](auto& it) { it.address.port = 0; }, announcement_defect::Address },
    { "address 0.0.0.0", [](auto& it) { it.address.address = ip_address::fromIpv4(0); }, announcement_defect::Address },
    { "multicast address", [](auto& it) { it.address.address = ip_address::fromIpv4(0xe0000001); },
        announcement_defect::Address },
    { "broadcast address", [](auto& it) { it.address.address = ip_address::fromIpv4(0xffffffff); },
        announcement_defect::Address },
    { "no slots", [](auto& it) { it.slots = 0; }, announcement_defect::Slots },
    { "negative start time", [](auto& it) { it.startedAtMs = -1; }, announcement_defect::StartTime },
    { "leave without further fields",
        [](auto& it) {
            it = {};
            it.id = "i-1";
            it.state = backend_state::Gone;
        },
        announcement_defect::None },
    { "leave with an identifier that is no text",
        [](auto& it) {
            it.id = "\xff";
            it.state = backend_state::Gone;
        },
        announcement_defect::Identifier },
};

// Guards against an entry of another writer in the directory that no server stands behind.
BOOST_DATA_TEST_CASE(unusable_announcement_has_a_defect, defectRows, row)
{
    auto announcement = sampleAnnouncement();
    row.change(announcement);
    BOOST_CHECK(findDefect(announcement) == row.defect);
}

} // namespace
