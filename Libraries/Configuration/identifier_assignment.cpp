#include <Configuration/identifier_assignment.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace bilberryyard {

namespace {

    // A file may choose identifiers above the next unused one, but a single file must not exhaust the identifiers.
    constexpr uint32_t maximumIdIncrease = 1000000;

    template <typename Definition>
    class identifier_assigner {
    public:
        identifier_assigner(std::string_view list, std::vector<Definition> const& current, uint32_t nextId)
            : m_list(list)
            , m_nextId(nextId)
        {
            for (auto const& definition : current) {
                m_idByName.emplace(definition.name, definition.id.value);
                m_currentIds.insert(definition.id.value);
            }
        }

        absl::Status assign(std::vector<Definition>& definitions)
        {
            uint32_t const idLimit = m_nextId + std::min(maximumIdIncrease, UINT32_MAX - m_nextId);
            for (size_t index = 0; index < definitions.size(); ++index) {
                uint32_t const id = definitions[index].id.value;
                if (id != 0)
                    m_explicitIds.insert(id);
            }
            for (size_t index = 0; index < definitions.size(); ++index) {
                if (auto status = checkExplicitId(definitions[index], index, idLimit); !status.ok())
                    return status;
            }
            for (auto& definition : definitions) {
                if (auto status = assignMissingId(definition); !status.ok())
                    return status;
            }
            return absl::OkStatus();
        }

        uint32_t nextId() const { return m_nextId; }

    private:
        absl::Status checkExplicitId(Definition const& definition, size_t index, uint32_t idLimit)
        {
            uint32_t const id = definition.id.value;
            if (id == 0 || m_currentIds.contains(id))
                return absl::OkStatus();
            auto const refuse = [&](std::string const& reason) {
                return makeError(error_kind::InvalidArgument,
                    m_list + "[" + std::to_string(index) + "].id: " + std::to_string(id) + " " + reason);
            };
            if (id < m_firstUnusedId)
                return refuse("was used by an entry that has been removed; leave the id out to get a new one");
            if (id >= idLimit)
                return refuse("is too large; leave the id out to get a new one");
            auto const existing = m_idByName.find(definition.name);
            if (existing != m_idByName.end() && !m_explicitIds.contains(existing->second))
                return refuse(
                    "differs from the id " + std::to_string(existing->second) + " that '" + definition.name + "' has");
            m_nextId = std::max(m_nextId, id + 1);
            return absl::OkStatus();
        }

        absl::Status assignMissingId(Definition& definition)
        {
            if (definition.id.value != 0)
                return absl::OkStatus();
            auto const existing = m_idByName.find(definition.name);
            if (existing != m_idByName.end() && !m_explicitIds.contains(existing->second)) {
                definition.id.value = existing->second;
                return absl::OkStatus();
            }
            if (m_nextId == UINT32_MAX)
                return makeError(error_kind::ResourceExhausted, m_list + ": all numbers have been used");
            definition.id.value = m_nextId++;
            return absl::OkStatus();
        }

        std::string m_list;
        uint32_t m_nextId;
        uint32_t const m_firstUnusedId = m_nextId;
        std::map<std::string, uint32_t> m_idByName;
        std::set<uint32_t> m_currentIds;
        std::set<uint32_t> m_explicitIds;
    };

} // namespace

absl::StatusOr<assigned_configuration> assignIdentifiers(
    configuration const& requested, configuration const& current, identifier_watermarks watermarks)
{
    auto parts = requested.parts();
    identifier_assigner<zone_definition> zones("zones", current.zones(), watermarks.nextZoneId);
    if (auto status = zones.assign(parts.zones); !status.ok())
        return status;
    identifier_assigner<service_definition> services("services", current.services(), watermarks.nextServiceId);
    if (auto status = services.assign(parts.services); !status.ok())
        return status;
    auto value = configuration::create(std::move(parts));
    if (!value.ok())
        return value.status();
    return assigned_configuration { *std::move(value), { services.nextId(), zones.nextId() } };
}

} // namespace bilberryyard
