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
    // Server identifiers contain the host identifier in 12 bits.
    constexpr uint64_t maximumHostId = 4094;
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

    /// Reads the members of one map of the file and stores the first error in the given status.
    class member_reader {
    public:
        member_reader(located_document node, std::string_view parentPath, absl::Status& status)
            : m_node(std::move(node))
            , m_status(status)
        {
            recordError(m_node.expectKeys(daemonSettingNames(parentPath)));
        }

        bool has(std::string_view key) const { return m_node.value().find(key) != nullptr; }
        bool ok() const { return m_status.ok(); }
        located_document const& node() const { return m_node; }

        void text(std::string_view key, std::string& target)
        {
            read(key, target, [](located_document const& node) { return node.asText(); });
        }

        void name(std::string_view key, std::string& target)
        {
            read(key, target, [](located_document const& node) -> absl::StatusOr<std::string> {
                auto value = node.asText();
                if (!value.ok())
                    return value;
                if (auto const inputError = findNameError(*value))
                    return node.inputError(*inputError);
                return value;
            });
        }

        void host(std::string_view key, host_id& target)
        {
            read(key, target, [](located_document const& node) -> absl::StatusOr<host_id> {
                auto const value = node.asUnsigned(1, maximumHostId);
                if (!value.ok())
                    return value.status();
                return host_id { static_cast<uint32_t>(*value) };
            });
        }

        void address(std::string_view key, endpoint& target)
        {
            read(key, target, [](located_document const& node) -> absl::StatusOr<endpoint> {
                auto const value = node.asText();
                if (!value.ok())
                    return value.status();
                auto const parsed = endpoint::parse(*value);
                if (!parsed.ok())
                    return node.inputError(messageOf(parsed.status()));
                return *parsed;
            });
        }

        void severity(std::string_view key, log_severity& target)
        {
            read(key, target, [](located_document const& node) -> absl::StatusOr<log_severity> {
                auto const value = node.asText();
                if (!value.ok())
                    return value.status();
                std::vector<std::string_view> names;
                for (auto const& row : severityNames) {
                    if (row.name == *value)
                        return row.severity;
                    names.push_back(row.name);
                }
                return node.inputError("unknown log level" + nameHint(*value, names));
            });
        }

        void recordError(absl::Status status)
        {
            if (m_status.ok())
                m_status = std::move(status);
        }

        /// @return The member; nothing when it is missing, which is recorded as an error.
        std::optional<located_document> member(std::string_view key)
        {
            auto found = m_node.required(key);
            if (found.ok())
                return *std::move(found);
            recordError(found.status());
            return std::nullopt;
        }

    private:
        template <typename Value, typename Read>
        void read(std::string_view key, Value& target, Read readValue)
        {
            if (!m_status.ok())
                return;
            auto const node = member(key);
            if (!node)
                return;
            auto value = readValue(*node);
            if (value.ok())
                target = *std::move(value);
            else
                m_status = value.status();
        }

        located_document m_node;
        absl::Status& m_status;
    };

    /// Reads one settings file up to the first error.
    class settings_file_reader {
    public:
        settings_file_reader(std::string_view file, document const& tree)
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
            checkEndpointsAreUnique();
            checkEntriesOfThisHost();
            if (!m_status.ok())
                return m_status;
            return m_settings;
        }

    private:
        void readRoles()
        {
            auto const node = m_root.ok() ? m_root.member("roles") : std::nullopt;
            if (!node)
                return;
            m_root.recordError(node->expectList());
            for (size_t index = 0; index < node->value().items().size(); ++index) {
                auto const item = node->item(index);
                auto const role = item.asText();
                bool& flag = role.ok() && *role == "control" ? m_hasControl : m_hasBalancer;
                if (!role.ok())
                    m_root.recordError(role.status());
                else if (*role != "balancer" && *role != "control")
                    m_root.recordError(item.inputError(
                        "unknown role" + nameHint(*role, std::array<std::string_view, 2> { "balancer", "control" })));
                else if (std::exchange(flag, true))
                    m_root.recordError(item.inputError("the role is given twice"));
            }
            if (!m_hasBalancer && !m_hasControl)
                m_root.recordError(node->inputError("at least one role is needed: balancer or control"));
        }

        void readDataFolder()
        {
            m_root.text("data_folder", m_settings.dataFolder);
            if (m_root.ok() && m_settings.dataFolder.empty())
                m_root.recordError(m_root.member("data_folder")->inputError("must not be empty"));
        }

        // A section for a role that the host does not have is an error: either the section or the list of roles is
        // wrong.
        std::optional<located_document> section(std::string_view name, bool hasRole)
        {
            if (!m_root.ok() || (!hasRole && !m_root.has(name)))
                return std::nullopt;
            auto node = m_root.member(name);
            if (node && !hasRole) {
                m_root.recordError(node->inputError("the host does not have the role " + std::string(name)));
                return std::nullopt;
            }
            return node;
        }

        void readSockets()
        {
            if (auto const node = section("balancer", m_hasBalancer)) {
                member_reader reader(*node, "balancer", m_status);
                m_settings.balancer.emplace();
                reader.address("packet", m_settings.balancer->packet);
                reader.address("relay", m_settings.balancer->relay);
                reader.address("peer", m_settings.balancer->peer);
                reader.address("caller_gateway", m_settings.balancer->callerGateway);
            }
            if (auto const node = section("control", m_hasControl)) {
                member_reader reader(*node, "control", m_status);
                m_settings.control.emplace();
                reader.address("peer", m_settings.control->peer);
                reader.address("distribution", m_settings.control->distribution);
            }
        }

        template <typename Entry, typename Read>
        void readHosts(std::string_view key, size_t maximum, std::vector<Entry>& entries, Read readEntry)
        {
            auto const node = m_root.ok() ? m_root.member(key) : std::nullopt;
            if (!node)
                return;
            m_root.recordError(node->expectList());
            size_t const count = node->value().items().size();
            if (count == 0 || count > maximum)
                m_root.recordError(node->inputError("1 to " + std::to_string(maximum) + " entries are allowed"));
            std::set<host_id> seen;
            for (size_t index = 0; index < count && m_root.ok(); ++index) {
                member_reader reader(node->item(index), std::string(key) + "[]", m_status);
                Entry entry;
                reader.host("host_id", entry.host);
                reader.address("peer", entry.peer);
                readEntry(reader, entry);
                if (m_root.ok() && !seen.insert(entry.host).second)
                    m_root.recordError(reader.member("host_id")->inputError(
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

        // TCP and UDP ports are independent, so endpoints are compared per protocol. The sockets of this host appear
        // again in entry_hosts and control_members, so the endpoints of these lists are compared separately.
        void checkEndpointsAreUnique()
        {
            if (!m_status.ok())
                return;
            std::map<endpoint, std::string> tcp { { m_settings.http, "http" } };
            std::map<endpoint, std::string> udp;
            if (m_settings.balancer) {
                checkEndpointIsUnused(udp, m_settings.balancer->packet, "balancer.packet");
                checkEndpointIsUnused(udp, m_settings.balancer->relay, "balancer.relay");
                checkEndpointIsUnused(tcp, m_settings.balancer->peer, "balancer.peer");
            }
            if (m_settings.control) {
                checkEndpointIsUnused(tcp, m_settings.control->peer, "control.peer");
                checkEndpointIsUnused(tcp, m_settings.control->distribution, "control.distribution");
            }
            std::map<endpoint, std::string> listedTcp;
            std::map<endpoint, std::string> listedUdp;
            for (size_t index = 0; index < m_settings.entryHosts.size(); ++index) {
                auto const path = "entry_hosts[" + std::to_string(index) + "]";
                checkEndpointIsUnused(listedTcp, m_settings.entryHosts[index].peer, path + ".peer");
                checkEndpointIsUnused(listedUdp, m_settings.entryHosts[index].relay, path + ".relay");
            }
            for (size_t index = 0; index < m_settings.controlMembers.size(); ++index) {
                auto const path = "control_members[" + std::to_string(index) + "]";
                checkEndpointIsUnused(listedTcp, m_settings.controlMembers[index].peer, path + ".peer");
                checkEndpointIsUnused(listedTcp, m_settings.controlMembers[index].distribution, path + ".distribution");
            }
        }

        void checkEndpointIsUnused(
            std::map<endpoint, std::string>& usedEndpoints, endpoint const& value, std::string const& path)
        {
            auto const [entry, inserted] = usedEndpoints.emplace(value, path);
            if (!inserted)
                m_root.recordError(m_root.node().deepest(path).inputError(
                    value.toText() + " is used twice, first in " + entry->second));
        }

        // The lists are usually copied to every host, so an entry of this host that differs from its sockets is an
        // error.
        void checkEntriesOfThisHost()
        {
            if (!m_status.ok())
                return;
            if (m_settings.balancer)
                checkHostIsListed("entry_hosts", m_settings.entryHosts, [&](entry_host_settings const& entry) {
                    return entry.zone == m_settings.zone && entry.peer == m_settings.balancer->peer
                        && entry.relay == m_settings.balancer->relay;
                });
            // control_members lists the bootstrap members, so a control host that joins later is not in it.
            if (m_settings.control)
                checkListedEntry(
                    "control_members", m_settings.controlMembers, [&](control_member_settings const& entry) {
                        return entry.peer == m_settings.control->peer
                            && entry.distribution == m_settings.control->distribution;
                    });
        }

        template <typename Entry, typename Matches>
        bool checkListedEntry(std::string const& list, std::vector<Entry> const& entries, Matches matches)
        {
            for (size_t index = 0; index < entries.size(); ++index) {
                if (entries[index].host != m_settings.host)
                    continue;
                if (!matches(entries[index]))
                    m_root.recordError(m_root.node()
                                           .deepest(list + "[" + std::to_string(index) + "]")
                                           .inputError("differs from this host's zone or sockets"));
                return true;
            }
            return false;
        }

        template <typename Entry, typename Matches>
        void checkHostIsListed(std::string const& list, std::vector<Entry> const& entries, Matches matches)
        {
            if (!checkListedEntry(list, entries, matches))
                m_root.recordError(m_root.member(list)->inputError(
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
    return settings_file_reader(file, *tree).read();
}

absl::StatusOr<daemon_settings> daemon_settings::readFile(std::string const& path)
{
    auto const text = readTextFile(path);
    if (!text.ok())
        return text.status();
    return read(*text, path);
}

} // namespace bilberryyard
