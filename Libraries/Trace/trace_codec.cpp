#include <Trace/trace_codec.h>

#include <Base/error_kind.h>
#include <Messages/trace.pb.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr uint32_t formatVersion = 1;

    uint64_t microseconds(duration value)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(value).count());
    }

    // Upper bound of the times in a trace, 100 days, so that sums of them cannot overflow.
    constexpr uint64_t maximumMicroseconds = 100ULL * 24 * 3600 * 1'000'000;

    duration toDuration(uint64_t value) { return std::chrono::microseconds(std::min(value, maximumMicroseconds)); }

    template <typename Kind>
    absl::StatusOr<Kind> kindOf(uint32_t value, Kind last, char const* what)
    {
        if (value == 0 || value > static_cast<uint32_t>(last))
            return makeError(
                error_kind::InvalidArgument, std::string(what) + " " + std::to_string(value) + " is unknown");
        return static_cast<Kind>(value);
    }

    void encode(trace_header const& header, messages::TraceHeader& output)
    {
        output.set_version(formatVersion);
        output.set_name(header.name);
        output.set_deployment(header.deployment);
        output.set_seed(header.seed);
        output.set_hash_seed(header.hashSeed);
        for (auto const& zone : header.zones) {
            auto& added = *output.add_zones();
            added.set_id(zone.id.value);
            added.set_name(zone.name);
        }
        output.set_zone_delay_us(microseconds(header.zoneDelay));
        output.set_local_delay_us(microseconds(header.localDelay));
        output.set_caller_delay_us(microseconds(header.callerDelay));
        auto const addHost = [](messages::TraceHost& added, trace_host const& host) {
            added.set_id(host.id.value);
            added.set_zone(host.zone.value);
        };
        for (auto const& host : header.entryHosts)
            addHost(*output.add_entry_hosts(), host);
        for (auto const& host : header.controlHosts)
            addHost(*output.add_control_hosts(), host);
        output.set_configuration(header.configuration);
        output.set_length_us(microseconds(header.length));
        output.set_imbalance_from_us(microseconds(header.imbalanceFrom));
    }

    absl::StatusOr<trace_record> decode(messages::TraceHeader const& header)
    {
        if (header.version() != formatVersion)
            return makeError(error_kind::InvalidArgument,
                "trace format version " + std::to_string(header.version()) + " is not supported");
        if (header.entry_hosts().empty())
            return makeError(error_kind::InvalidArgument, "the trace header lists no entry hosts");
        trace_header result { header.name(), header.deployment(), header.seed(), header.hash_seed(), {},
            toDuration(header.zone_delay_us()), toDuration(header.local_delay_us()),
            toDuration(header.caller_delay_us()), {}, {}, header.configuration(), toDuration(header.length_us()),
            toDuration(header.imbalance_from_us()) };
        for (auto const& zone : header.zones())
            result.zones.push_back({ zone_id { zone.id() }, zone.name() });
        for (auto const& host : header.entry_hosts())
            result.entryHosts.push_back({ host_id { host.id() }, zone_id { host.zone() } });
        for (auto const& host : header.control_hosts())
            result.controlHosts.push_back({ host_id { host.id() }, zone_id { host.zone() } });
        return result;
    }

    void encode(flow_burst const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_flows();
        body.set_service(value.service.value);
        body.set_kind(value.kind);
        body.set_count(value.count);
        body.set_spacing_us(microseconds(value.spacing));
        body.set_segments(value.requestCount);
        body.set_segment_interval_us(microseconds(value.requestInterval));
        body.set_answer_parts(value.responseSegments);
        body.set_duplicate_after_us(microseconds(value.duplicateAfter));
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceFlowBurst const& body)
    {
        if (body.answer_parts() == 0 || body.answer_parts() > 32)
            return makeError(error_kind::InvalidArgument, "answer_parts must be 1 to 32");
        return flow_burst { service_id { body.service() }, body.kind(), body.count(), toDuration(body.spacing_us()),
            body.segments(), toDuration(body.segment_interval_us()), body.answer_parts(),
            toDuration(body.duplicate_after_us()) };
    }

    void encode(packet_input const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_packet();
        body.set_host(value.host.value);
        body.set_packet(value.packet.data(), value.packet.size());
        if (value.origin) {
            auto const header = encodeRelayHeader(*value.origin);
            body.set_relay_header(header.data(), header.size());
        }
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TracePacket const& body)
    {
        packet_input result { host_id { body.host() }, { body.packet().begin(), body.packet().end() }, {} };
        if (body.relay_header().empty())
            return result;
        std::vector<uint8_t> const header(body.relay_header().begin(), body.relay_header().end());
        result.origin = decodeRelayHeader(header);
        if (!result.origin)
            return makeError(error_kind::InvalidArgument, "the relay header of a packet input is malformed");
        return result;
    }

    void encode(announcement_input const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_announcement();
        auto const& announced = value.announcement;
        body.set_host(value.host.value);
        body.set_service(announced.key.service.value);
        body.set_address(announced.key.address.bytes.data(), announced.key.address.bytes.size());
        body.set_port(announced.key.port);
        body.set_zone(announced.zone.value);
        body.set_state(static_cast<uint32_t>(announced.state) + 1);
        body.set_slots(announced.slots);
        body.set_connection_limit(announced.connectionLimit);
        body.set_busy_slots(announced.load.busySlots);
        body.set_queue(announced.load.queue);
        body.set_open_connections(announced.load.openConnections);
        body.set_incarnation(announced.incarnation);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceAnnouncement const& body)
    {
        announcement_input result;
        result.host = { body.host() };
        auto& announced = result.announcement;
        if (body.address().size() != announced.key.address.bytes.size() || body.port() > UINT16_MAX)
            return makeError(error_kind::InvalidArgument, "the address or port of a server announcement is malformed");
        if (body.state() == 0 || body.state() > static_cast<uint32_t>(server_state::Draining) + 1)
            return makeError(error_kind::InvalidArgument, "the state of a server announcement is unknown");
        std::copy(body.address().begin(), body.address().end(), announced.key.address.bytes.begin());
        announced.key.service = { body.service() };
        announced.key.port = static_cast<uint16_t>(body.port());
        announced.zone = { body.zone() };
        announced.state = static_cast<server_state>(body.state() - 1);
        announced.slots = body.slots();
        announced.connectionLimit = body.connection_limit();
        announced.load = { body.busy_slots(), body.queue(), body.open_connections() };
        announced.incarnation = body.incarnation();
        return result;
    }

    void encode(server_event const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_server();
        body.set_server(value.server);
        body.set_kind(static_cast<uint32_t>(value.kind));
        body.set_service(value.service.value);
        body.set_zone(value.zone.value);
        body.set_slots(value.slots);
        body.set_connection_limit(value.connectionLimit);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceServerEvent const& body)
    {
        auto const kind = kindOf(body.kind(), server_event_kind::Kill, "server event");
        if (!kind.ok())
            return kind.status();
        return server_event { body.server(), *kind, service_id { body.service() }, zone_id { body.zone() },
            body.slots(), body.connection_limit() };
    }

    void encode(host_event const& value, messages::TraceInput& output)
    {
        output.mutable_host()->set_host(value.host.value);
        output.mutable_host()->set_kind(static_cast<uint32_t>(value.kind));
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceHostEvent const& body)
    {
        auto const kind = kindOf(body.kind(), host_event_kind::LoseDisk, "host event");
        if (!kind.ok())
            return kind.status();
        return host_event { host_id { body.host() }, *kind };
    }

    void encode(partition_event const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_partition();
        for (auto const zone : value.zones)
            body.add_zones(zone.value);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TracePartition const& body)
    {
        partition_event result;
        for (auto const zone : body.zones())
            result.zones.push_back({ zone });
        return result;
    }

    void encode(message_fault const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_fault();
        body.set_sender(value.sender.value);
        body.set_receiver(value.receiver.value);
        body.set_loss_per_mille(value.lossPerMille);
        body.set_delay_us(microseconds(value.delay));
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceMessageFault const& body)
    {
        return message_fault { host_id { body.sender() }, host_id { body.receiver() }, body.loss_per_mille(),
            toDuration(body.delay_us()) };
    }

    void encode(change_input const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_change();
        body.set_host(value.host.value);
        body.set_request_id(value.requestId);
        body.set_base_revision(value.baseRevision);
        body.set_author(value.author);
        body.set_reason(value.reason);
        body.set_yaml(value.yaml);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceConfigurationChange const& body)
    {
        return change_input { host_id { body.host() }, body.request_id(), body.base_revision(), body.author(),
            body.reason(), body.yaml() };
    }

    void encode(peer_message_input const& value, messages::TraceInput& output)
    {
        output.mutable_peer_message()->set_host(value.host.value);
        output.mutable_peer_message()->set_message(value.message);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TracePeerMessage const& body)
    {
        return peer_message_input { host_id { body.host() }, body.message() };
    }

    void encode(configuration_input const& value, messages::TraceInput& output)
    {
        auto& body = *output.mutable_configuration();
        body.set_host(value.host.value);
        body.set_revision(value.revision);
        body.set_yaml(value.yaml);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceConfigurationInForce const& body)
    {
        return configuration_input { host_id { body.host() }, body.revision(), body.yaml() };
    }

    void encode(dropped_inputs const& value, messages::TraceInput& output)
    {
        output.mutable_drops()->set_count(value.count);
    }

    absl::StatusOr<trace_input::body_type> decode(messages::TraceDrops const& body)
    {
        return dropped_inputs { body.count() };
    }

    absl::StatusOr<trace_input::body_type> decodeBody(messages::TraceInput const& input)
    {
        switch (input.body_case()) {
        case messages::TraceInput::kFlows:
            return decode(input.flows());
        case messages::TraceInput::kPacket:
            return decode(input.packet());
        case messages::TraceInput::kAnnouncement:
            return decode(input.announcement());
        case messages::TraceInput::kServer:
            return decode(input.server());
        case messages::TraceInput::kHost:
            return decode(input.host());
        case messages::TraceInput::kPartition:
            return decode(input.partition());
        case messages::TraceInput::kFault:
            return decode(input.fault());
        case messages::TraceInput::kChange:
            return decode(input.change());
        case messages::TraceInput::kPeerMessage:
            return decode(input.peer_message());
        case messages::TraceInput::kConfiguration:
            return decode(input.configuration());
        case messages::TraceInput::kDrops:
            return decode(input.drops());
        case messages::TraceInput::BODY_NOT_SET:
            break;
        }
        return makeError(error_kind::InvalidArgument, "the input record has no body of a known kind");
    }

} // namespace

std::string encodeTraceRecord(trace_record const& record)
{
    messages::TraceRecord output;
    if (auto const* header = std::get_if<trace_header>(&record)) {
        encode(*header, *output.mutable_header());
    } else if (auto const* input = std::get_if<trace_input>(&record)) {
        output.mutable_input()->set_time_us(microseconds(input->time));
        std::visit([&](auto const& body) { encode(body, *output.mutable_input()); }, input->body);
    } else {
        output.mutable_end()->set_inputs(std::get<trace_end>(record).inputs);
    }
    return output.SerializeAsString();
}

absl::StatusOr<trace_record> decodeTraceRecord(std::string_view bytes)
{
    messages::TraceRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "the record is not a valid protobuf message");
    if (record.has_header())
        return decode(record.header());
    if (record.has_end())
        return trace_end { record.end().inputs() };
    if (!record.has_input())
        return makeError(error_kind::InvalidArgument, "the record has no body of a known kind");
    auto body = decodeBody(record.input());
    if (!body.ok())
        return body.status();
    return trace_input { toDuration(record.input().time_us()), *std::move(body) };
}

} // namespace bilberryyard
