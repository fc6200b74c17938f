#include "group_address.h"

#include <Base/error_kind.h>
#include <charconv>

namespace bilberryyard {

std::string group_address::toText() const { return peer.toText() + " " + std::to_string(token); }

absl::StatusOr<group_address> group_address::parse(std::string_view text)
{
    auto const space = text.find(' ');
    auto const peer = ip_endpoint::parse(text.substr(0, space));
    if (!peer.ok())
        return peer.status();
    group_address result { *peer, 0 };
    auto const digits = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
    auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), result.token);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return makeError(
            error_kind::InvalidArgument, "the address of a log member has a missing or invalid join token");
    return result;
}

} // namespace bilberryyard
