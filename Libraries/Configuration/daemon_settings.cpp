#include <Configuration/daemon_settings.h>

#include <Base/error_kind.h>
#include <Base/hashing.h>
#include <Configuration/configuration_checks.h>
#include <Configuration/daemon_setting_key.h>
#include <Configuration/document_parser.h>
#include <Configuration/located_document.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr uint64_t deploymentHashSeed = 0x6465706c6f79;
    // Server numbers hold the host in 12 bits.
    constexpr uint64_t largestHostId = 4094;
    constexpr size_t maximumEntryHosts = 3000;
    constexpr size_t maximumControlMembers = 11;

    struct severity_name {
        std::string_view name;
        log_severity severity;
    };

    constexpr std::array<severity_name, 4> severityNames { {
        { "debug", log_severity::Debug },
        { "information", log_severity::Information },
        { "warning", log_severity::Warning },
        { "error", log_severity::Error },
    } };

    /// Reads the members of one map of the file and keeps the first fault.
    class member_reader {
    public:
        member_reader(located_document place, std::string_view keyParent, absl::Status& status)
            : m_place(std::move(place))
            , m_status(status)
        {
            keep(m_place.expectKeys(daemonSettingNames(keyParent)));
        }

        bool has(std::string_view key) const { return m_place.value().find(key) != nullptr; }
        bool ok() const { return m_status.ok(); }
        located_document const& place() const { return m_place; }

        void text(std::string_view key, std::string& target)
        {
            read(key, target, [](located_document const& place) { return place.asText(); });
        }

        void name(std::string_view key, std::string& target)
        {
            read(key, target, [](located_document const& place) -> absl::StatusOr<std::string> {
                auto value = place.asText();
                if (!value.ok())
                    return value;
                if (auto const fault = findNameFault(*value))
                    return place.fault(*fault);
                return value;
            });
        }

        void host(std::string_view key, host_id& target)
        {
            read(key, target, [](located_document const& place) -> absl::StatusOr<host_id> {
                auto const value = place.asUnsigned(1, largestHostId);
                if (!value.ok())
                    return value.status();
                return host_id { static_cast<uint32_t>(*value) };
            });
        }

        void address(std::string_view key, endpoint& target)
        {
            read(key, target, [](located_document const& place) -> absl::StatusOr<endpoint> {
                auto const value = place.asText();
                if (!value.ok())
                    return value.status();
                auto const parsed = endpoint::parse(*value);
                if (!parsed.ok())
                    return place.fault(messageOf(parsed.status()));
                return *parsed;
            });
        }

        void severity(std::string_view key, log_severity& target)
        {
            read(key, target, [](located_document const& place) -> absl::StatusOr<log_severity> {
                auto const value = place.asText();
                if (!value.ok())
                    return value.status();
                std::vector<std::string_view> names;
                for (auto const& row : severityNames) {
                    if (row.name == *value)
                        return row.severity;
                    names.push_back(row.name);
                }
                return place.fault("unknown log level" + nameHint(*value, names));
            });
        }

        void keep(absl::Status status)
        {
            if (m_status.ok())
                m_status = std::move(status);
        }

        /// @return The member, or nothing after recording that it is missing.
        std::optional<located_document> member(std::string_view key)
        {
            auto found = m_place.required(key);
            if (found.ok())
                return *std::move(found);
            keep(found.status());
            return std::nullopt;
        }

    private:
        template <typename Value, typename Read>
        void read(std::string_view key, Value& target, Read readValue)
        {
            if (!m_status.ok())
                return;
            auto const place = member(key);
            if (!place)
                return;
            auto value = readValue(*place);
            if (value.ok())
                target = *std::move(value);
            else
                m_status = value.status();
        }

        located_document m_place;
        absl::Status& m_status;
    };

    /// Reads one file. The first fault stops it.
    class settings_file {
    public:
        settings_file(std::string_view file, document const& tree)
            : m_root({ file, tree }, {}, m_status)
        {
        }

        absl::StatusOr<daemon_settings> read()
        {
            m_root.name("deployment", m_settings.deployment);
            m_root.host("host_id", m_settings.host);
            m_root.name("zone", m_settings.zone);
            readRoles();
            if (m_root.has("log_level"))
                m_root.severity("log_level", m_settings.logLevel);
            m_root.address("http", m_settings.http);
            if (m_hasControl || m_root.has("data_folder"))
                readDataFolder();
            readSockets();
            if (m_hasBalancer || m_root.has("entry_hosts"))
                readEntryHosts();
            readControlMembers();
            checkEndpoints();
            checkOwnEntries();
            if (!m_status.ok())
                return m_status;
            return m_settings;
        }

    private:
        void readRoles()
        {
            auto const place = m_root.ok() ? m_root.member("roles") : std::nullopt;
            if (!place)
                return;
            m_root.keep(place->expectList());
            for (size_t index = 0; index < place->value().items().size(); ++index) {
                auto const item = place->item(index);
                auto const role = item.asText();
                bool& flag = role.ok() && *role == "control" ? m_hasControl : m_hasBalancer;
                if (!role.ok())
                    m_root.keep(role.status());
                else if (*role != "balancer" && *role != "control")
                    m_root.keep(item.fault(
                        "unknown role" + nameHint(*role, std::array<std::string_view, 2> { "balancer", "control" })));
                else if (std::exchange(flag, true))
                    m_root.keep(item.fault("the role is given twice"));
            }
            if (!m_hasBalancer && !m_hasControl)
                m_root.keep(place->fault("at least one role is needed: balancer or control"));
        }

        void readDataFolder()
        {
            m_root.text("data_folder", m_settings.dataFolder);
            if (m_root.ok() && m_settings.dataFolder.empty())
                m_root.keep(m_root.member("data_folder")->fault("must not be empty"));
        }

        // A section of a role that the host does not have is a mistake in one of the two places.
        std::optional<located_document> section(std::string_view name, bool hasRole)
        {
            if (!m_root.ok() || (!hasRole && !m_root.has(name)))
                return std::nullopt;
            auto place = m_root.member(name);
            if (place && !hasRole) {
                m_root.keep(place->fault("the host does not have the role " + std::string(name)));
                return std::nullopt;
            }
            return place;
        }

        void readSockets()
        {
            if (auto const place = section("balancer", m_hasBalancer)) {
                member_reader reader(*place, "balancer", m_status);
                m_settings.balancer.emplace();
                reader.address("packet", m_settings.balancer->packet);
                reader.address("relay", m_settings.balancer->relay);
                reader.address("peer", m_settings.balancer->peer);
                reader.address("caller_gateway", m_settings.balancer->callerGateway);
            }
            if (auto const place = section("control", m_hasControl)) {
                member_reader reader(*place, "control", m_status);
                m_settings.control.emplace();
                reader.address("peer", m_settings.control->peer);
                reader.address("distribution", m_settings.control->distribution);
            }
        }

        template <typename Entry, typename Read>
        void readHosts(std::string_view key, size_t maximum, std::vector<Entry>& entries, Read readEntry)
        {
            auto const place = m_root.ok() ? m_root.member(key) : std::nullopt;
            if (!place)
                return;
            m_root.keep(place->expectList());
            size_t const count = place->value().items().size();
            if (count == 0 || count > maximum)
                m_root.keep(place->fault("1 to " + std::to_string(maximum) + " entries are allowed"));
            std::set<host_id> seen;
            for (size_t index = 0; index < count && m_root.ok(); ++index) {
                member_reader reader(place->item(index), std::string(key) + "[]", m_status);
                Entry entry;
                reader.host("host_id", entry.host);
                reader.address("peer", entry.peer);
                readEntry(reader, entry);
                if (m_root.ok() && !seen.insert(entry.host).second)
                    m_root.keep(reader.member("host_id")->fault(
                        "host " + std::to_string(entry.host.value) + " is listed twice"));
                entries.push_back(std::move(entry));
            }
        }

        void readEntryHosts()
        {
            readHosts("entry_hosts", maximumEntryHosts, m_settings.entryHosts,
                [](member_reader& reader, entry_host_settings& entry) {
                    reader.name("zone", entry.zone);
                    reader.address("relay", entry.relay);
                });
        }

        void readControlMembers()
        {
            readHosts("control_members", maximumControlMembers, m_settings.controlMembers,
                [](member_reader& reader, control_member_settings& entry) {
                    reader.address("distribution", entry.distribution);
                });
        }

        // TCP and UDP ports are separate, so each transport has its own set. A host's own sockets are
        // listed again in entry_hosts and control_members, so those lists form sets of their own.
        void checkEndpoints()
        {
            if (!m_status.ok())
                return;
            std::map<endpoint, std::string> tcp { { m_settings.http, "http" } };
            std::map<endpoint, std::string> udp;
            if (m_settings.balancer) {
                checkUnused(udp, m_settings.balancer->packet, "balancer.packet");
                checkUnused(udp, m_settings.balancer->relay, "balancer.relay");
                checkUnused(tcp, m_settings.balancer->peer, "balancer.peer");
            }
            if (m_settings.control) {
                checkUnused(tcp, m_settings.control->peer, "control.peer");
                checkUnused(tcp, m_settings.control->distribution, "control.distribution");
            }
            std::map<endpoint, std::string> listedTcp;
            std::map<endpoint, std::string> listedUdp;
            for (size_t index = 0; index < m_settings.entryHosts.size(); ++index) {
                auto const path = "entry_hosts[" + std::to_string(index) + "]";
                checkUnused(listedTcp, m_settings.entryHosts[index].peer, path + ".peer");
                checkUnused(listedUdp, m_settings.entryHosts[index].relay, path + ".relay");
            }
            for (size_t index = 0; index < m_settings.controlMembers.size(); ++index) {
                auto const path = "control_members[" + std::to_string(index) + "]";
                checkUnused(listedTcp, m_settings.controlMembers[index].peer, path + ".peer");
                checkUnused(listedTcp, m_settings.controlMembers[index].distribution, path + ".distribution");
            }
        }

        void checkUnused(std::map<endpoint, std::string>& taken, endpoint const& value, std::string const& path)
        {
            auto const [entry, inserted] = taken.emplace(value, path);
            if (!inserted)
                m_root.keep(
                    m_root.place().deepest(path).fault(value.toText() + " is used twice, first in " + entry->second));
        }

        // The lists are usually copied to every host, so a difference to the own sockets is a copying mistake.
        void checkOwnEntries()
        {
            if (!m_status.ok())
                return;
            if (m_settings.balancer)
                checkOwn("entry_hosts", m_settings.entryHosts, [&](entry_host_settings const& entry) {
                    return entry.zone == m_settings.zone && entry.peer == m_settings.balancer->peer
                        && entry.relay == m_settings.balancer->relay;
                });
            // A control host that joins later is not among the members of the first start.
            if (m_settings.control)
                checkListed("control_members", m_settings.controlMembers, [&](control_member_settings const& entry) {
                    return entry.peer == m_settings.control->peer
                        && entry.distribution == m_settings.control->distribution;
                });
        }

        template <typename Entry, typename Matches>
        bool checkListed(std::string const& list, std::vector<Entry> const& entries, Matches matches)
        {
            for (size_t index = 0; index < entries.size(); ++index) {
                if (entries[index].host != m_settings.host)
                    continue;
                if (!matches(entries[index]))
                    m_root.keep(m_root.place()
                                    .deepest(list + "[" + std::to_string(index) + "]")
                                    .fault("differs from this host's zone or sockets"));
                return true;
            }
            return false;
        }

        template <typename Entry, typename Matches>
        void checkOwn(std::string const& list, std::vector<Entry> const& entries, Matches matches)
        {
            if (!checkListed(list, entries, matches))
                m_root.keep(m_root.member(list)->fault(
                    "this host (" + std::to_string(m_settings.host.value) + ") is not listed"));
        }

        absl::Status m_status;
        member_reader m_root;
        daemon_settings m_settings;
        bool m_hasBalancer = false;
        bool m_hasControl = false;
    };

} // namespace

uint64_t daemon_settings::hashSeed() const
{
    return hashBytes({ reinterpret_cast<uint8_t const*>(deployment.data()), deployment.size() }, deploymentHashSeed);
}

absl::StatusOr<daemon_settings> daemon_settings::read(std::string_view text, std::string_view file)
{
    auto const tree = parseDocument(text, file);
    if (!tree.ok())
        return tree.status();
    return settings_file(file, *tree).read();
}

absl::StatusOr<daemon_settings> daemon_settings::readFile(std::string const& path)
{
    auto const text = readTextFile(path);
    if (!text.ok())
        return text.status();
    return read(*text, path);
}

} // namespace bilberryyard
