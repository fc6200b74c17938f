#include <Configuration/exception_target.h>

#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    constexpr std::string_view servicePrefix = "service/";
    constexpr std::string_view serverPrefix = "server/";

} // namespace

absl::StatusOr<exception_target> exception_target::parse(std::string_view text)
{
    if (text.starts_with(servicePrefix) && text.size() > servicePrefix.size())
        return exception_target { exception_target_kind::Service, std::string(text.substr(servicePrefix.size())), {} };
    if (!text.starts_with(serverPrefix))
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text.substr(0, 64)) + "' is no target; expected service/NAME or server/ADDRESS:PORT");
    auto const server = endpoint::parse(text.substr(serverPrefix.size()));
    if (!server.ok())
        return server.status();
    return exception_target { exception_target_kind::Server, {}, *server };
}

std::string exception_target::toText() const
{
    if (kind == exception_target_kind::Service)
        return std::string(servicePrefix) + service;
    return std::string(serverPrefix) + server.toText();
}

} // namespace bilberryyard
