#include <OperatorInterface/server_registration.h>

#include <Base/error_kind.h>
#include <Configuration/document_parser.h>
#include <Configuration/located_document.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <array>
#include <limits>

namespace bilberryyard {

namespace {

    constexpr std::array<std::string_view, 3> stateNames { "starting", "serving", "draining" };

    struct number_key {
        std::string_view name;
        uint32_t server_registration::*member;
        uint32_t minimum;
    };

    constexpr std::array<number_key, 5> numberKeys { {
        { "slots", &server_registration::slots, 1 },
        { "connection_limit", &server_registration::connectionLimit, 1 },
        { "busy_slots", &server_registration::busySlots, 0 },
        { "queue", &server_registration::queue, 0 },
        { "open_connections", &server_registration::openConnections, 0 },
    } };

    absl::Status readText(located_document const& root, std::string_view key, std::string& target)
    {
        auto const node = root.required(key);
        if (!node.ok())
            return node.status();
        auto const text = node->asText();
        if (!text.ok())
            return text.status();
        target = *text;
        return absl::OkStatus();
    }

    absl::Status readState(located_document const& root, registered_state& state)
    {
        std::string text;
        if (auto status = readText(root, "state", text); !status.ok())
            return status;
        auto const name = std::find(stateNames.begin(), stateNames.end(), text);
        if (name == stateNames.end())
            return root.required("state")->inputError("unknown state" + nameHint(text, stateNames));
        state = static_cast<registered_state>(name - stateNames.begin());
        return absl::OkStatus();
    }

    absl::Status readServer(located_document const& root, endpoint& server)
    {
        std::string text;
        if (auto status = readText(root, "address", text); !status.ok())
            return status;
        auto const address = ip_address::parse(text);
        if (!address.ok())
            return root.required("address")->inputError(messageOf(address.status()));
        auto const port = root.required("port");
        if (!port.ok())
            return port.status();
        auto const number = port->asUnsigned(1, UINT16_MAX);
        if (!number.ok())
            return number.status();
        server = { *address, static_cast<uint16_t>(*number) };
        return absl::OkStatus();
    }

    absl::Status readNumbers(located_document const& root, server_registration& registration)
    {
        for (auto const& key : numberKeys) {
            auto const node = root.required(key.name);
            if (!node.ok())
                return node.status();
            auto const number = node->asUnsigned(key.minimum, UINT32_MAX);
            if (!number.ok())
                return number.status();
            registration.*key.member = static_cast<uint32_t>(*number);
        }
        auto const node = root.required("incarnation");
        if (!node.ok())
            return node.status();
        auto const incarnation = node->asUnsigned(0, std::numeric_limits<int64_t>::max());
        if (!incarnation.ok())
            return incarnation.status();
        registration.incarnation = *incarnation;
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<server_registration> readServerRegistration(http_request const& request)
{
    static constexpr std::array<std::string_view, 11> keys { "service", "address", "port", "zone", "state", "slots",
        "connection_limit", "busy_slots", "queue", "open_connections", "incarnation" };
    auto const tree = parseDocument(request.body, "body");
    if (!tree.ok())
        return tree.status();
    located_document const root("body", *tree);
    server_registration registration;
    auto status = root.expectKeys(keys);
    if (status.ok())
        status = readText(root, "service", registration.service);
    if (status.ok())
        status = readServer(root, registration.server);
    if (status.ok())
        status = readText(root, "zone", registration.zone);
    if (status.ok())
        status = readState(root, registration.state);
    if (status.ok())
        status = readNumbers(root, registration);
    if (!status.ok())
        return status;
    return registration;
}

document toDocument(server_registration const& registration)
{
    std::vector<document_member> members {
        { "service", document::text(registration.service) },
        { "address", document::text(registration.server.address.toText()) },
        { "port", document::unsignedInteger(registration.server.port) },
        { "zone", document::text(registration.zone) },
        { "state", document::text(stateNames[static_cast<size_t>(registration.state)]) },
    };
    for (auto const& key : numberKeys)
        members.push_back({ std::string(key.name), document::unsignedInteger(registration.*key.member) });
    members.push_back({ "incarnation", document::unsignedInteger(registration.incarnation) });
    return document::map(std::move(members));
}

} // namespace bilberryyard
