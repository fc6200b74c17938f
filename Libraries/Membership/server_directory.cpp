#include <Membership/server_directory.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <string>

namespace bilberryyard {

namespace {

    duration servingDuration(directory_entry const& entry, monotonic_time now)
    {
        return entry.announcement.state == server_state::Serving ? now - entry.servingSince : duration::zero();
    }

    constexpr uint32_t counterBits = 12;
    constexpr uint32_t incarnationBits = 8;
    constexpr uint32_t maximumHost = (1U << (32 - counterBits - incarnationBits)) - 1;

} // namespace

server_directory::server_directory(routed_peer self, directory_settings const& settings)
    : m_self(self)
    , m_settings(settings)
{
}

absl::StatusOr<server_directory> server_directory::create(routed_peer self, directory_settings const& settings)
{
    // The highest host identifier is excluded, so that no server identifier equals noServer.
    if (self.host.value >= maximumHost)
        return makeError(error_kind::InvalidArgument,
            "host identifier " + std::to_string(self.host.value) + " is not below " + std::to_string(maximumHost));
    if (settings.lease <= duration::zero() || settings.retention < settings.lease)
        return makeError(error_kind::InvalidArgument, "the lease must be positive and not exceed the retention");
    return server_directory(self, settings);
}

absl::StatusOr<server_id> server_directory::announce(server_announcement const& announcement, monotonic_time now)
{
    if (auto status = validateAnnouncement(announcement); !status.ok())
        return status;
    auto const known = m_entries.find(announcement.key);
    if (known != m_entries.end() && known->second.stamp.incarnation > announcement.incarnation)
        return makeError(error_kind::Conflict,
            "server incarnation " + std::to_string(announcement.incarnation) + " is older than the known incarnation "
                + std::to_string(known->second.stamp.incarnation));
    uint32_t sequence = 1;
    if (known == m_entries.end()) {
        auto const id = allocateIdentifier();
        if (!id.ok())
            return id.status();
        claimIdentifier(*id, announcement.key);
    } else {
        sequence = known->second.stamp.sequence + 1;
    }
    store(announcement, { announcement.incarnation, sequence, m_self.host }, now, now);
    return m_entries.at(announcement.key).id;
}

absl::Status server_directory::merge(server_record const& record, monotonic_time now)
{
    if (auto status = validateAnnouncement(record.announcement); !status.ok())
        return status;
    if (record.id == noServer || record.age < duration::zero() || record.servingFor < duration::zero()
        || record.stamp.incarnation != record.announcement.incarnation)
        return makeError(error_kind::InvalidArgument, "server record with an invalid identifier, age or stamp");
    if (record.age > m_settings.retention)
        return absl::OkStatus();
    claimIdentifier(record.id, record.announcement.key);
    store(record.announcement, record.stamp, now - record.age, now - record.servingFor);
    return absl::OkStatus();
}

void server_directory::expire(monotonic_time now)
{
    std::erase_if(m_entries, [&](auto const& item) { return now - item.second.renewedAt > m_settings.retention; });
    std::erase_if(m_owners, [&](auto const& item) { return !m_entries.contains(item.second); });
}

std::vector<server_record> server_directory::recordsSince(uint64_t after, record_scope scope, monotonic_time now) const
{
    std::vector<server_record> records;
    for (auto const& [key, entry] : m_entries) {
        if (entry.changedAt <= after)
            continue;
        if (scope == record_scope::ReceivedHere && entry.stamp.receiver != m_self.host)
            continue;
        records.push_back(
            { entry.id, entry.announcement, entry.stamp, now - entry.renewedAt, servingDuration(entry, now) });
    }
    if (scope == record_scope::All)
        addAliases(records, after, now);
    std::sort(records.begin(), records.end());
    return records;
}

void server_directory::addAliases(std::vector<server_record>& records, uint64_t after, monotonic_time now) const
{
    // Tables and flow entries may refer to a server by an earlier identifier, so a joining host needs the aliases too.
    for (auto const& [identifier, key] : m_owners) {
        auto const entry = m_entries.find(key);
        if (entry == m_entries.end() || entry->second.id == identifier || entry->second.changedAt <= after)
            continue;
        records.push_back(
            { identifier, entry->second.announcement, entry->second.stamp, now - entry->second.renewedAt });
    }
}

directory_entry const* server_directory::find(server_id id) const
{
    auto const owner = m_owners.find(id);
    if (owner == m_owners.end())
        return nullptr;
    return find(owner->second);
}

directory_entry const* server_directory::find(server_key const& key) const
{
    auto const entry = m_entries.find(key);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

server_id server_directory::canonical(server_id id) const
{
    auto const* entry = find(id);
    return entry ? entry->id : noServer;
}

std::vector<directory_entry> server_directory::entries() const
{
    std::vector<directory_entry> result;
    result.reserve(m_entries.size());
    for (auto const& [key, entry] : m_entries)
        result.push_back(entry);
    return result;
}

bool server_directory::isLeased(directory_entry const& entry, monotonic_time now) const
{
    return now - entry.renewedAt <= m_settings.lease;
}

server_condition server_directory::conditionOf(
    directory_entry const& entry, std::set<zone_id> const& reachableZones, monotonic_time now) const
{
    // A lease that has expired on this host may have been renewed at another one, and a host that missed records must
    // not reset flows of a live server. New flows use other servers at once, but existing flows are reset only after
    // the dead timeout, when several records must have been lost.
    if (!isLeased(entry, now) && now - entry.renewedAt <= m_settings.deadTimeout)
        return server_condition::Closed;
    if (!isLeased(entry, now))
        return reachableZones.contains(entry.announcement.zone) ? server_condition::Dead : server_condition::Closed;
    return entry.announcement.state == server_state::Serving ? server_condition::Accepting : server_condition::Closed;
}

absl::StatusOr<server_id> server_directory::allocateIdentifier()
{
    uint32_t const incarnation = m_self.incarnation & ((1U << incarnationBits) - 1);
    uint32_t const prefix = (m_self.host.value << incarnationBits | incarnation) << counterBits;
    // Skips identifiers of an earlier incarnation with the same low bits, which may be known through peers.
    while (m_nextCounter < 1U << counterBits) {
        server_id const id { prefix | m_nextCounter++ };
        if (!m_owners.contains(id))
            return id;
    }
    return makeError(error_kind::ResourceExhausted,
        "host " + std::to_string(m_self.host.value) + " has assigned all " + std::to_string(1U << counterBits)
            + " server identifiers of its incarnation; restart it to get new ones");
}

void server_directory::claimIdentifier(server_id id, server_key const& key)
{
    auto const [owner, inserted] = m_owners.emplace(id, key);
    if (!inserted && owner->second != key) {
        // With one identifier for two servers, packets of one would reach the other. The server with the lower key
        // keeps the identifier, and the other one is assigned a new one at its next announcement.
        ++m_identifierCollisions;
        auto const loser = std::max(owner->second, key);
        owner->second = std::min(owner->second, key);
        updateOwnIdentifier(loser);
    }
    updateOwnIdentifier(owner->second);
}

void server_directory::updateOwnIdentifier(server_key const& key)
{
    auto const entry = m_entries.find(key);
    if (entry == m_entries.end())
        return;
    auto const lowest
        = std::find_if(m_owners.begin(), m_owners.end(), [&](auto const& item) { return item.second == key; });
    if (lowest == m_owners.end()) {
        m_entries.erase(entry);
        return;
    }
    if (entry->second.id == lowest->first)
        return;
    entry->second.id = lowest->first;
    entry->second.changedAt = ++m_changeCounter;
}

void server_directory::store(server_announcement const& announcement, report_stamp const& stamp,
    monotonic_time renewedAt, monotonic_time servingSince)
{
    auto const lowest = std::find_if(
        m_owners.begin(), m_owners.end(), [&](auto const& item) { return item.second == announcement.key; });
    if (lowest == m_owners.end())
        return;
    auto const [item, inserted] = m_entries.try_emplace(announcement.key);
    auto& entry = item->second;
    bool const sameIncarnation = !inserted && entry.stamp.incarnation == stamp.incarnation;
    auto const oldState = entry.announcement.state;
    // The earliest time comes from the host that saw the server serve first, and is the most accurate.
    if (sameIncarnation && oldState == server_state::Serving && announcement.state == server_state::Serving)
        entry.servingSince = std::min(entry.servingSince, servingSince);
    if (!inserted && stamp <= entry.stamp) {
        // An older record of the same incarnation may still be the first one to report that the server drains.
        if (!sameIncarnation || announcement.state <= oldState)
            return;
        entry.announcement.state = announcement.state;
    } else {
        entry.announcement = announcement;
        if (sameIncarnation)
            entry.announcement.state = std::max(announcement.state, oldState);
        entry.stamp = stamp;
        entry.renewedAt = inserted ? renewedAt : std::max(entry.renewedAt, renewedAt);
    }
    bool const wasServing = sameIncarnation && oldState == server_state::Serving;
    if (entry.announcement.state == server_state::Serving && !wasServing)
        entry.servingSince = servingSince;
    entry.id = lowest->first;
    entry.changedAt = ++m_changeCounter;
}

} // namespace bilberryyard
