#include <CoordinationCodec/membership_codec.h>

#include <Base/error_kind.h>
#include <CoordinationCodec/table_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    using body_type = coordination_message::body_type;

    constexpr size_t ipv4Size = 4;
    constexpr size_t ipv6Size = 16;
    // Longer than any lease or retention. Keeps the conversion to nanoseconds from overflowing.
    constexpr uint64_t maximumAgeMilliseconds = 86'400'000;

    std::string encodeAddress(ip_address const& address)
    {
        auto const begin = address.bytes.begin() + (address.isIpv4() ? ipv6Size - ipv4Size : 0);
        return { begin, address.bytes.end() };
    }

    absl::StatusOr<ip_address> decodeAddress(std::string const& bytes)
    {
        if (bytes.size() != ipv4Size && bytes.size() != ipv6Size)
            return makeError(error_kind::InvalidArgument, "server record has an address of neither 4 nor 16 bytes");
        ip_address address = ip_address::fromIpv4(0);
        std::copy(bytes.begin(), bytes.end(), address.bytes.end() - static_cast<std::ptrdiff_t>(bytes.size()));
        return address;
    }

    uint64_t millisecondsOf(duration value)
    {
        return static_cast<uint64_t>(
            std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
    }

    void encodeRecord(server_record const& record, messages::ServerRecord& message)
    {
        auto const& announcement = record.announcement;
        message.set_id(record.id.value);
        message.set_service(announcement.key.service.value);
        message.set_address(encodeAddress(announcement.key.address));
        message.set_port(announcement.key.port);
        message.set_zone(announcement.zone.value);
        message.set_state(static_cast<uint32_t>(announcement.state));
        message.set_slots(announcement.slots);
        message.set_connection_limit(announcement.connectionLimit);
        message.set_busy_slots(announcement.load.busySlots);
        message.set_queue(announcement.load.queue);
        message.set_open_connections(announcement.load.openConnections);
        message.set_incarnation(announcement.incarnation);
        message.set_sequence(record.stamp.sequence);
        message.set_receiver(record.stamp.receiver.value);
        message.set_age_milliseconds(millisecondsOf(record.age));
        message.set_serving_for_milliseconds(millisecondsOf(record.servingFor));
    }

    absl::StatusOr<server_record> decodeRecord(messages::ServerRecord const& message)
    {
        auto const address = decodeAddress(message.address());
        if (!address.ok())
            return address.status();
        if (message.port() > UINT16_MAX || message.state() > static_cast<uint32_t>(server_state::Draining)
            || message.age_milliseconds() > maximumAgeMilliseconds)
            return makeError(
                error_kind::InvalidArgument, "server record has a port, state or age that is out of range");
        server_announcement const announcement { { service_id { message.service() }, *address,
                                                     static_cast<uint16_t>(message.port()) },
            zone_id { message.zone() }, static_cast<server_state>(message.state()), message.slots(),
            message.connection_limit(), { message.busy_slots(), message.queue(), message.open_connections() },
            message.incarnation() };
        return server_record { server_id { message.id() }, announcement,
            { message.incarnation(), message.sequence(), host_id { message.receiver() } },
            std::chrono::milliseconds(message.age_milliseconds()),
            std::chrono::milliseconds(std::min(message.serving_for_milliseconds(), maximumAgeMilliseconds)) };
    }

} // namespace

messages::Heartbeat encodeHeartbeat(heartbeat_message const& value)
{
    messages::Heartbeat message;
    message.set_zone(value.heartbeat.zone.value);
    message.set_state(static_cast<uint32_t>(value.heartbeat.state));
    message.set_intent(static_cast<uint32_t>(value.heartbeat.intent));
    for (auto const host : value.heartbeat.recentlySeenPeers)
        message.add_hears(host.value);
    auto const& acknowledgement = value.heartbeat.acknowledgement;
    *message.mutable_planner() = encodePeer(acknowledgement.planner);
    for (auto const& [service, version] : acknowledgement.versions) {
        auto* item = message.add_applied();
        item->set_service(service.value);
        item->set_version(version);
    }
    message.set_configuration_revision(value.configurationRevision);
    for (auto const& [service, table] : value.heartbeat.tables) {
        auto* item = message.add_tables();
        item->set_service(service.value);
        item->set_version(table.version);
        item->set_digest(table.digest);
    }
    return message;
}

absl::StatusOr<body_type> decodeHeartbeat(messages::Heartbeat const& message, routed_peer sender)
{
    if (message.state() > static_cast<uint32_t>(synchronisation::Isolated)
        || message.intent() > static_cast<uint32_t>(host_intent::Leaving))
        return makeError(error_kind::InvalidArgument, "heartbeat has an unknown state or intent");
    peer_heartbeat heartbeat;
    heartbeat.sender = sender;
    heartbeat.zone = zone_id { message.zone() };
    heartbeat.state = static_cast<synchronisation>(message.state());
    heartbeat.intent = static_cast<host_intent>(message.intent());
    for (auto const host : message.hears())
        heartbeat.recentlySeenPeers.push_back(host_id { host });
    heartbeat.acknowledgement.planner = decodePeer(message.planner());
    for (auto const& item : message.applied())
        heartbeat.acknowledgement.versions[service_id { item.service() }] = item.version();
    for (auto const& item : message.tables())
        heartbeat.tables[service_id { item.service() }] = { item.version(), item.digest() };
    return body_type { heartbeat_message { std::move(heartbeat), message.configuration_revision() } };
}

messages::Records encodeRecords(records_message const& value)
{
    messages::Records message;
    for (auto const& record : value.records)
        encodeRecord(record, *message.add_records());
    for (auto const& renewal : value.renewals) {
        auto* item = message.add_renewals();
        item->set_server(renewal.server.value);
        item->set_sequence(renewal.sequence);
        item->set_busy_slots(renewal.load.busySlots);
        item->set_queue(renewal.load.queue);
        item->set_open_connections(renewal.load.openConnections);
    }
    return message;
}

absl::StatusOr<body_type> decodeRecords(messages::Records const& message)
{
    records_message result;
    for (auto const& item : message.records()) {
        auto record = decodeRecord(item);
        if (!record.ok())
            return record.status();
        result.records.push_back(*std::move(record));
    }
    for (auto const& item : message.renewals())
        result.renewals.push_back({ server_id { item.server() }, item.sequence(),
            { item.busy_slots(), item.queue(), item.open_connections() } });
    return body_type { std::move(result) };
}

messages::EvidenceList encodeHandshakeStatistics(handshake_statistics_message const& value)
{
    messages::EvidenceList message;
    for (auto const& counted : value.statistics) {
        auto* item = message.add_evidence();
        item->set_server(counted.server.value);
        item->set_started(counted.started);
        item->set_retransmitted(counted.retransmitted);
        item->set_progressed(counted.progressed);
    }
    return message;
}

body_type decodeHandshakeStatistics(messages::EvidenceList const& message)
{
    handshake_statistics_message result;
    for (auto const& item : message.evidence())
        result.statistics.push_back(
            { server_id { item.server() }, item.started(), item.retransmitted(), item.progressed() });
    return result;
}

} // namespace bilberryyard
