#include "announcement_reader.h"

#include <Base/error_kind.h>
#include <Configuration/document_parser.h>
#include <Configuration/located_document.h>
#include <algorithm>
#include <array>

namespace bilberryyard {

namespace {

    constexpr std::array<std::string_view, 11> knownKeys { "service", "address", "port", "zone", "state", "slots",
        "connection_limit", "busy_slots", "queue", "open_connections", "incarnation" };
    constexpr std::array<std::string_view, 3> stateNames { "starting", "serving", "draining" };
    constexpr uint64_t maximumCount = 10'000'000;

    /// Reads members and remembers the first error, so that a reader needs no check after each.
    class member_reader {
    public:
        explicit member_reader(located_document const& root)
            : m_root(root)
        {
        }

        std::string text(std::string_view key)
        {
            return take<std::string>(key, [](auto const& m) { return m.asText(); });
        }

        uint64_t number(std::string_view key, uint64_t minimum, uint64_t maximum)
        {
            return take<uint64_t>(key, [&](auto const& m) { return m.asUnsigned(minimum, maximum); });
        }

        void fail(absl::Status const& status)
        {
            if (m_status.ok())
                m_status = status;
        }

        absl::Status const& status() const { return m_status; }

    private:
        template <typename Value, typename Read>
        Value take(std::string_view key, Read read)
        {
            auto const member = m_root.required(key);
            if (!member.ok()) {
                fail(member.status());
                return {};
            }
            auto value = read(*member);
            if (!value.ok()) {
                fail(value.status());
                return {};
            }
            return *std::move(value);
        }

        located_document const& m_root;
        absl::Status m_status;
    };

} // namespace

absl::StatusOr<server_announcement> readAnnouncement(
    std::string_view body, coordinated_configuration const& configuration, std::map<std::string, zone_id> const& zones)
{
    auto const parsed = parseDocument(body, "body");
    if (!parsed.ok())
        return parsed.status();
    located_document const root("body", *parsed);
    if (auto const status = root.expectKeys(knownKeys); !status.ok())
        return status;
    member_reader reader(root);
    server_announcement result;
    auto const service = reader.text("service");
    auto const address = reader.text("address");
    auto const zone = reader.text("zone");
    auto const state = reader.text("state");
    result.key.port = static_cast<uint16_t>(reader.number("port", 1, UINT16_MAX));
    result.slots = static_cast<uint32_t>(reader.number("slots", 1, maximumCount));
    result.connectionLimit = static_cast<uint32_t>(reader.number("connection_limit", 0, maximumCount));
    result.load.busySlots = static_cast<uint32_t>(reader.number("busy_slots", 0, maximumCount));
    result.load.queue = static_cast<uint32_t>(reader.number("queue", 0, maximumCount));
    result.load.openConnections = static_cast<uint32_t>(reader.number("open_connections", 0, maximumCount));
    result.incarnation = reader.number("incarnation", 0, UINT64_MAX);
    if (!reader.status().ok())
        return reader.status();

    auto const parsedAddress = ip_address::parse(address);
    if (!parsedAddress.ok())
        return root.required("address")->fault(messageOf(parsedAddress.status()));
    result.key.address = *parsedAddress;
    auto const stateName = std::find(stateNames.begin(), stateNames.end(), state);
    if (stateName == stateNames.end())
        return root.required("state")->fault("must be starting, serving or draining");
    result.state = static_cast<server_state>(stateName - stateNames.begin());
    auto const definition = std::find_if(configuration.services.begin(), configuration.services.end(),
        [&](routed_service const& value) { return value.name == service; });
    if (definition == configuration.services.end())
        return makeError(error_kind::NotFound, "no service named '" + service + "'");
    result.key.service = definition->id;
    auto const zoneEntry = zones.find(zone);
    if (zoneEntry == zones.end())
        return makeError(error_kind::NotFound, "no zone named '" + zone + "'");
    result.zone = zoneEntry->second;
    return result;
}

} // namespace bilberryyard
