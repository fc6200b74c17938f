#include <Membership/announcement_check.h>

#include <boost/locale/utf.hpp>

namespace bilberryyard {

namespace {

    using utf8 = boost::locale::utf::utf_traits<char>;

    bool isControlCharacter(boost::locale::utf::code_point character)
    {
        return character < 0x20 || (character >= 0x7f && character < 0xa0);
    }

    bool isPrintable(std::string_view text)
    {
        if (text.size() > maximumAnnouncementText)
            return false;
        for (auto const* position = text.data(); position != text.data() + text.size();) {
            auto const character = utf8::decode(position, text.data() + text.size());
            if (!boost::locale::utf::is_valid_codepoint(character) || isControlCharacter(character))
                return false;
        }
        return true;
    }

    // Log lines separate their fields by spaces.
    bool isName(std::string_view text)
    {
        return !text.empty() && text.find(' ') == std::string_view::npos && isPrintable(text);
    }

    bool isHostAddress(ip_endpoint const& endpoint)
    {
        constexpr uint32_t firstMulticast = 0xe0000000;
        return endpoint.port != 0 && endpoint.address.isIpv4() && endpoint.address.toIpv4() != 0
            && endpoint.address.toIpv4() < firstMulticast;
    }

} // namespace

announcement_defect findDefect(backend_announcement const& announcement)
{
    if (!isName(announcement.id))
        return announcement_defect::Identifier;
    if (announcement.startedAtMs < 0)
        return announcement_defect::StartTime;
    if (announcement.state == backend_state::Gone)
        return announcement_defect::None;
    if (!isName(announcement.service))
        return announcement_defect::Service;
    if (!isPrintable(announcement.zone))
        return announcement_defect::Zone;
    if (!isPrintable(announcement.version))
        return announcement_defect::Version;
    if (!isHostAddress(announcement.address))
        return announcement_defect::Address;
    if (announcement.slots == 0)
        return announcement_defect::Slots;
    return announcement_defect::None;
}

std::string_view nameOf(announcement_defect defect)
{
    switch (defect) {
    case announcement_defect::None:
        return "none";
    case announcement_defect::Identifier:
        return "identifier";
    case announcement_defect::Service:
        return "service";
    case announcement_defect::Zone:
        return "zone";
    case announcement_defect::Version:
        return "version";
    case announcement_defect::Address:
        return "address";
    case announcement_defect::Slots:
        return "slots";
    case announcement_defect::StartTime:
        return "start_time";
    }
    return "unknown";
}

} // namespace bilberryyard
