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

    // A file may start a range of its own, but no single file may use up the numbers.
    constexpr uint32_t largestStep = 1000000;

    template <typename Definition>
    class assigner {
    public:
        assigner(std::string_view list, std::vector<Definition> const& current, uint32_t next)
            : m_list(list)
            , m_next(next)
        {
            for (auto const& definition : current) {
                m_idByName.emplace(definition.name, definition.id.value);
                m_currentIds.insert(definition.id.value);
            }
        }

        absl::Status assign(std::vector<Definition>& definitions)
        {
            uint32_t const limit = m_next + std::min(largestStep, UINT32_MAX - m_next);
            for (size_t index = 0; index < definitions.size(); ++index) {
                uint32_t const id = definitions[index].id.value;
                if (id != 0)
                    m_givenIds.insert(id);
            }
            for (size_t index = 0; index < definitions.size(); ++index) {
                if (auto status = checkGiven(definitions[index], index, limit); !status.ok())
                    return status;
            }
            for (auto& definition : definitions) {
                if (auto status = fill(definition); !status.ok())
                    return status;
            }
            return absl::OkStatus();
        }

        uint32_t next() const { return m_next; }

    private:
        absl::Status checkGiven(Definition const& definition, size_t index, uint32_t limit)
        {
            uint32_t const id = definition.id.value;
            if (id == 0 || m_currentIds.contains(id))
                return absl::OkStatus();
            auto const refuse = [&](std::string const& reason) {
                return makeError(error_kind::InvalidArgument,
                    m_list + "[" + std::to_string(index) + "].id: " + std::to_string(id) + " " + reason);
            };
            if (id < m_firstNew)
                return refuse("was used by an entry that has been removed; leave the id out to get a new one");
            if (id >= limit)
                return refuse("is too large; leave the id out to get a new one");
            auto const named = m_idByName.find(definition.name);
            if (named != m_idByName.end() && !m_givenIds.contains(named->second))
                return refuse(
                    "differs from the id " + std::to_string(named->second) + " that '" + definition.name + "' has");
            m_next = std::max(m_next, id + 1);
            return absl::OkStatus();
        }

        absl::Status fill(Definition& definition)
        {
            if (definition.id.value != 0)
                return absl::OkStatus();
            auto const named = m_idByName.find(definition.name);
            if (named != m_idByName.end() && !m_givenIds.contains(named->second)) {
                definition.id.value = named->second;
                return absl::OkStatus();
            }
            if (m_next == UINT32_MAX)
                return makeError(error_kind::ResourceExhausted, m_list + ": all numbers have been used");
            definition.id.value = m_next++;
            return absl::OkStatus();
        }

        std::string m_list;
        uint32_t m_next;
        uint32_t const m_firstNew = m_next;
        std::map<std::string, uint32_t> m_idByName;
        std::set<uint32_t> m_currentIds;
        std::set<uint32_t> m_givenIds;
    };

} // namespace

absl::StatusOr<assigned_configuration> assignIdentifiers(
    configuration const& wanted, configuration const& current, identifier_watermarks watermarks)
{
    auto parts = wanted.parts();
    assigner<zone_definition> zones("zones", current.zones(), watermarks.nextZoneId);
    if (auto status = zones.assign(parts.zones); !status.ok())
        return status;
    assigner<service_definition> services("services", current.services(), watermarks.nextServiceId);
    if (auto status = services.assign(parts.services); !status.ok())
        return status;
    auto value = configuration::create(std::move(parts));
    if (!value.ok())
        return value.status();
    return assigned_configuration { *std::move(value), { services.next(), zones.next() } };
}

} // namespace bilberryyard
