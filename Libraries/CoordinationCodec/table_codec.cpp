#include <CoordinationCodec/table_codec.h>

#include <Base/error_kind.h>
#include <CoordinationCodec/bucket_list_codec.h>
#include <bit>
#include <map>
#include <string>

namespace bilberryyard {

namespace {

    /// Assigns indices to values in the order of their first use.
    template <typename Value>
    class dictionary {
    public:
        uint32_t indexOf(Value const& value)
        {
            auto const [entry, inserted] = m_indices.emplace(value, static_cast<uint32_t>(m_values.size()));
            if (inserted)
                m_values.push_back(value);
            return entry->second;
        }

        std::vector<Value> const& values() const { return m_values; }

    private:
        std::map<Value, uint32_t> m_indices;
        std::vector<Value> m_values;
    };

    void encodeWitnessSet(witness_set const& set, messages::WitnessSet& message)
    {
        for (uint8_t group = 0; group < set.count; ++group) {
            auto* groupMessage = message.add_groups();
            for (uint8_t index = 0; index < set.groups[group].count; ++index) {
                auto const& value = set.groups[group].witnesses[index];
                auto* witnessMessage = groupMessage->add_witnesses();
                witnessMessage->set_host(value.host.value);
                witnessMessage->set_incarnation(value.incarnation);
                witnessMessage->set_state(static_cast<uint32_t>(value.state));
            }
        }
    }

    absl::StatusOr<witness_set> decodeWitnessSet(messages::WitnessSet const& message)
    {
        witness_set set;
        if (static_cast<size_t>(message.groups_size()) > maximumWitnessGroups)
            return makeError(error_kind::InvalidArgument, "witness set has too many groups");
        for (auto const& groupMessage : message.groups()) {
            auto& group = set.groups[set.count++];
            if (static_cast<size_t>(groupMessage.witnesses_size()) > maximumWitnesses)
                return makeError(error_kind::InvalidArgument, "witness group has too many witnesses");
            for (auto const& value : groupMessage.witnesses()) {
                if (value.state() > static_cast<uint32_t>(witness_state::Filling))
                    return makeError(error_kind::InvalidArgument, "witness has an unknown state");
                group.witnesses[group.count++]
                    = { host_id { value.host() }, value.incarnation(), static_cast<witness_state>(value.state()) };
            }
        }
        return set;
    }

    absl::Status decodeChange(messages::TableDelta const& message, std::vector<witness_set> const& sets,
        messages::BucketChange const& change, table_delta& delta)
    {
        auto const servers = static_cast<uint32_t>(message.servers_size());
        if (change.current() >= servers || change.base() >= servers || change.witness_set() >= sets.size()
            || change.stamp() >= static_cast<uint32_t>(message.stamps_size())
            || change.phase() > static_cast<uint32_t>(bucket_phase::Tracked))
            return makeError(error_kind::InvalidArgument,
                "bucket change has an unknown phase or refers to a missing dictionary entry");
        auto buckets = decodeBuckets(change);
        if (!buckets.ok())
            return buckets.status();
        auto const& stamp = message.stamps(static_cast<int>(change.stamp()));
        delta.changes.push_back({ server_id { message.servers(static_cast<int>(change.current())) },
            server_id { message.servers(static_cast<int>(change.base())) }, static_cast<bucket_phase>(change.phase()),
            sets[change.witness_set()], { stamp.counter(), host_id { stamp.author() } }, *std::move(buckets) });
        return absl::OkStatus();
    }

} // namespace

messages::Peer encodePeer(routed_peer peer)
{
    messages::Peer message;
    message.set_host(peer.host.value);
    message.set_incarnation(peer.incarnation);
    return message;
}

routed_peer decodePeer(messages::Peer const& message) { return { host_id { message.host() }, message.incarnation() }; }

messages::TableDelta encodeDelta(table_delta const& delta)
{
    messages::TableDelta message;
    message.set_service(delta.service.value);
    message.set_version(delta.version);
    dictionary<server_id> servers;
    dictionary<witness_set> sets;
    dictionary<table_stamp> stamps;
    for (auto const& change : delta.changes) {
        auto* changeMessage = message.add_changes();
        changeMessage->set_current(servers.indexOf(change.current));
        changeMessage->set_base(servers.indexOf(change.base));
        changeMessage->set_phase(static_cast<uint32_t>(change.phase));
        changeMessage->set_witness_set(sets.indexOf(change.witnesses));
        changeMessage->set_stamp(stamps.indexOf(change.stamp));
        encodeBuckets(change.buckets, *changeMessage);
    }
    for (auto const server : servers.values())
        message.add_servers(server.value);
    for (auto const& set : sets.values())
        encodeWitnessSet(set, *message.add_witness_sets());
    for (auto const& stamp : stamps.values()) {
        auto* stampMessage = message.add_stamps();
        stampMessage->set_counter(stamp.counter);
        stampMessage->set_author(stamp.author.value);
    }
    return message;
}

absl::StatusOr<table_delta> decodeDelta(messages::TableDelta const& message)
{
    table_delta delta { service_id { message.service() }, message.version(), {} };
    std::vector<witness_set> sets;
    size_t bucketCount = 0;
    for (auto const& setMessage : message.witness_sets()) {
        auto set = decodeWitnessSet(setMessage);
        if (!set.ok())
            return set.status();
        sets.push_back(*set);
    }
    for (auto const& change : message.changes()) {
        if (auto const status = decodeChange(message, sets, change, delta); !status.ok())
            return status;
        // A run of a few bytes represents up to 2^20 buckets. Without this limit, a message with many runs would
        // exhaust the memory.
        bucketCount += delta.changes.back().buckets.size();
        if (bucketCount > maximumBucketIndex + size_t { 1 })
            return makeError(error_kind::InvalidArgument, "table delta changes more buckets than a table can have");
    }
    return delta;
}

messages::Lineage encodeLineage(table_lineage const& lineage)
{
    messages::Lineage message;
    for (auto const& [planner, version] : lineage.versions) {
        auto* item = message.add_versions();
        *item->mutable_planner() = encodePeer(planner);
        item->set_version(version);
    }
    return message;
}

table_lineage decodeLineage(messages::Lineage const& message)
{
    table_lineage lineage;
    for (auto const& item : message.versions())
        lineage.versions[decodePeer(item.planner())] = item.version();
    return lineage;
}

messages::TableTransfer encodeTable(replicated_table const& table)
{
    messages::TableTransfer message;
    *message.mutable_snapshot() = encodeDelta(table.table.snapshot());
    message.set_bucket_count(table.table.bucketCount());
    *message.mutable_lineage() = encodeLineage(table.lineage);
    return message;
}

absl::StatusOr<replicated_table> decodeTable(messages::TableTransfer const& message)
{
    if (!std::has_single_bit(message.bucket_count()) || message.bucket_count() > maximumBucketIndex + 1)
        return makeError(error_kind::InvalidArgument,
            "table has " + std::to_string(message.bucket_count()) + " buckets, which is not a power of two up to 2^20");
    auto const delta = decodeDelta(message.snapshot());
    if (!delta.ok())
        return delta.status();
    bucket_table const empty(delta->service, message.bucket_count());
    return replicated_table { empty.withDelta(*delta), decodeLineage(message.lineage()) };
}

} // namespace bilberryyard
