#include <CoordinationCodec/coordination_codec.h>

#include <Base/error_kind.h>
#include <CoordinationCodec/bucket_list_codec.h>
#include <CoordinationCodec/membership_codec.h>
#include <CoordinationCodec/table_codec.h>
#include <limits>
#include <map>

namespace bilberryyard {

namespace {

    using body_type = coordination_message::body_type;

    void encodeCursor(transfer_cursor const& cursor, messages::Cursor& message)
    {
        message.set_position(cursor.position);
        message.set_has_last_hash(cursor.lastHash.has_value());
        message.set_last_hash(cursor.lastHash.value_or(0));
    }

    transfer_cursor decodeCursor(messages::Cursor const& message)
    {
        transfer_cursor cursor { message.position(), std::nullopt };
        if (message.has_last_hash())
            cursor.lastHash = message.last_hash();
        return cursor;
    }

    void encodeBody(heartbeat_message const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_heartbeat() = encodeHeartbeat(value);
    }

    void encodeBody(records_message const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_records() = encodeRecords(value);
    }

    void encodeBody(handshake_statistics_message const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_evidence() = encodeHandshakeStatistics(value);
    }

    void encodeBody(table_delta const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_delta() = encodeDelta(value);
    }

    void encodeBody(table_request const& value, messages::CoordinationMessage& message)
    {
        message.mutable_table_request()->set_service(value.service.value);
        message.mutable_table_request()->set_epoch(value.epoch);
    }

    void encodeBody(table_snapshot const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_table_snapshot()->mutable_table() = encodeTable(value.content);
        message.mutable_table_snapshot()->set_epoch(value.epoch);
    }

    void encodeBody(table_offer const& value, messages::CoordinationMessage& message)
    {
        *message.mutable_table_offer() = encodeTable(value.content);
    }

    void encodeBody(fill_request const& value, messages::CoordinationMessage& message)
    {
        auto* request = message.mutable_fill_request();
        request->set_service(value.service.value);
        encodeBuckets(value.buckets, *request);
        encodeCursor(value.cursor, *request->mutable_cursor());
    }

    void encodeBody(fill_response const& value, messages::CoordinationMessage& message)
    {
        auto* response = message.mutable_fill_answer();
        response->set_service(value.service.value);
        encodeCursor(value.cursor, *response->mutable_cursor());
        encodeCursor(value.batch.next, *response->mutable_next());
        response->set_done(value.batch.done);
        std::map<server_id, uint32_t> indices;
        for (auto const& flow : value.batch.flows) {
            auto const [entry, inserted] = indices.emplace(flow.server, static_cast<uint32_t>(indices.size()));
            if (inserted)
                response->add_servers(flow.server.value);
            response->add_hashes(flow.flowHash);
            response->add_choices(entry->second);
        }
    }

    void encodeBody(settled_report const& value, messages::CoordinationMessage& message)
    {
        auto* report = message.mutable_settled();
        report->set_service(value.service.value);
        report->mutable_stamp()->set_counter(value.stamp.counter);
        report->mutable_stamp()->set_author(value.stamp.author.value);
        encodeBuckets(value.buckets, *report);
    }

    void encodeBody(filled_report const& value, messages::CoordinationMessage& message)
    {
        auto* report = message.mutable_filled();
        report->set_service(value.service.value);
        encodeBuckets(value.buckets, *report);
    }

    void encodeBody(leave_permission const&, messages::CoordinationMessage& message)
    {
        message.mutable_leave_permission();
    }

    void encodeBody(table_message const& value, messages::CoordinationMessage& message)
    {
        std::visit([&message](auto const& body) { encodeBody(body, message); }, value);
    }

    absl::StatusOr<body_type> decodeSnapshot(messages::TableSnapshot const& message)
    {
        auto table = decodeTable(message.table());
        if (!table.ok())
            return table.status();
        return body_type { table_message { table_snapshot { *std::move(table), message.epoch() } } };
    }

    absl::StatusOr<body_type> decodeOffer(messages::TableTransfer const& message)
    {
        auto table = decodeTable(message);
        if (!table.ok())
            return table.status();
        return body_type { table_message { table_offer { *std::move(table) } } };
    }

    absl::StatusOr<body_type> decodeFillRequest(messages::FillRequest const& message)
    {
        auto buckets = decodeBuckets(message);
        if (!buckets.ok())
            return buckets.status();
        return body_type { fill_request {
            service_id { message.service() }, *std::move(buckets), decodeCursor(message.cursor()) } };
    }

    absl::StatusOr<body_type> decodeFillResponse(messages::FillAnswer const& message)
    {
        if (message.hashes_size() != message.choices_size())
            return makeError(
                error_kind::InvalidArgument, "fill response has different numbers of flow hashes and server choices");
        fill_response response { service_id { message.service() }, decodeCursor(message.cursor()),
            { {}, decodeCursor(message.next()), message.done() } };
        for (int index = 0; index < message.hashes_size(); ++index) {
            auto const choice = message.choices(index);
            if (choice >= static_cast<uint32_t>(message.servers_size()))
                return makeError(error_kind::InvalidArgument, "fill response refers to a server that it does not list");
            response.batch.flows.push_back(
                { message.hashes(index), server_id { message.servers(static_cast<int>(choice)) } });
        }
        return body_type { std::move(response) };
    }

    absl::StatusOr<body_type> decodeDeltaMessage(messages::TableDelta const& message)
    {
        auto delta = decodeDelta(message);
        if (!delta.ok())
            return delta.status();
        return body_type { table_message { *std::move(delta) } };
    }

    absl::StatusOr<body_type> decodeSettled(messages::BucketReport const& message, routed_peer sender)
    {
        auto buckets = decodeBuckets(message);
        if (!buckets.ok())
            return buckets.status();
        return body_type { table_message { settled_report { service_id { message.service() }, sender,
            { message.stamp().counter(), host_id { message.stamp().author() } }, *std::move(buckets) } } };
    }

    absl::StatusOr<body_type> decodeFilled(messages::BucketReport const& message, routed_peer sender)
    {
        auto buckets = decodeBuckets(message);
        if (!buckets.ok())
            return buckets.status();
        return body_type { table_message {
            filled_report { service_id { message.service() }, sender, *std::move(buckets) } } };
    }

    absl::StatusOr<body_type> decodeBody(messages::CoordinationMessage const& message, routed_peer sender)
    {
        using kind = messages::CoordinationMessage::BodyCase;
        switch (message.body_case()) {
        case kind::kHeartbeat:
            return decodeHeartbeat(message.heartbeat(), sender);
        case kind::kRecords:
            return decodeRecords(message.records());
        case kind::kDelta:
            return decodeDeltaMessage(message.delta());
        case kind::kTableRequest:
            return body_type { table_message {
                table_request { service_id { message.table_request().service() }, message.table_request().epoch() } } };
        case kind::kTableSnapshot:
            return decodeSnapshot(message.table_snapshot());
        case kind::kTableOffer:
            return decodeOffer(message.table_offer());
        case kind::kEvidence:
            return decodeHandshakeStatistics(message.evidence());
        case kind::kFillRequest:
            return decodeFillRequest(message.fill_request());
        case kind::kFillAnswer:
            return decodeFillResponse(message.fill_answer());
        case kind::kSettled:
            return decodeSettled(message.settled(), sender);
        case kind::kFilled:
            return decodeFilled(message.filled(), sender);
        case kind::kLeavePermission:
            return body_type { leave_permission {} };
        case kind::BODY_NOT_SET:
            break;
        }
        return makeError(error_kind::InvalidArgument, "coordination message has no body of a known kind");
    }

} // namespace

coordination_codec::coordination_codec(uint32_t deployment)
    : m_deployment(deployment)
{
}

std::string coordination_codec::encode(coordination_message const& message) const
{
    messages::CoordinationMessage encoded;
    encoded.set_deployment(m_deployment);
    *encoded.mutable_sender() = encodePeer(message.sender);
    std::visit([&encoded](auto const& body) { encodeBody(body, encoded); }, message.body);
    return encoded.SerializeAsString();
}

absl::StatusOr<coordination_message> coordination_codec::decode(std::string_view bytes) const
{
    messages::CoordinationMessage encoded;
    if (bytes.size() > static_cast<size_t>(std::numeric_limits<int>::max())
        || !encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "coordination message is not a valid protobuf message");
    if (encoded.deployment() != m_deployment)
        return makeError(error_kind::FailedPrecondition, "coordination message belongs to another deployment");
    auto const sender = decodePeer(encoded.sender());
    auto body = decodeBody(encoded, sender);
    if (!body.ok())
        return body.status();
    return coordination_message { sender, *std::move(body) };
}

} // namespace bilberryyard
