#include <ControlMessages/control_codec.h>

#include <Base/error_kind.h>
#include <Messages/control.pb.h>
#include <algorithm>
#include <limits>

namespace bilberryyard {

namespace {

    // Ages are capped at 24 h, so that the conversion to nanoseconds does not overflow. Higher ages are of no interest.
    constexpr uint64_t maximumAgeMilliseconds = 86'400'000;

    using consensus_body = decltype(consensus_message::body);

    void encodeBody(vote_request const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_vote_request();
        body->set_phase(static_cast<uint32_t>(value.phase));
        body->set_cause(static_cast<uint32_t>(value.cause));
        body->set_election_term(value.electionTerm);
        body->set_last_index(value.lastIndex);
        body->set_last_term(value.lastTerm);
    }

    void encodeBody(vote_response const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_vote_response();
        body->set_phase(static_cast<uint32_t>(value.phase));
        body->set_election_term(value.electionTerm);
        body->set_decision(static_cast<uint32_t>(value.decision));
    }

    void encodeBody(append_request const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_append_request();
        body->set_previous_index(value.previousIndex);
        body->set_previous_term(value.previousTerm);
        body->set_commit_index(value.commitIndex);
        body->set_sent_at(value.sentAt);
        for (auto const& entry : value.entries) {
            auto* item = body->add_entries();
            item->set_term(entry.term);
            item->set_index(entry.index);
            item->set_kind(static_cast<uint32_t>(entry.kind));
            item->set_payload(entry.payload);
        }
    }

    void encodeBody(append_response const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_append_response();
        body->set_outcome(static_cast<uint32_t>(value.outcome));
        body->set_sent_at(value.sentAt);
        body->set_match_index(value.matchIndex);
        body->set_refused_index(value.refusedIndex);
        body->set_conflict_term(value.conflictTerm);
        body->set_conflict_index(value.conflictIndex);
    }

    void encodeBody(snapshot_chunk const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_snapshot_chunk();
        body->set_snapshot_index(value.snapshotIndex);
        body->set_snapshot_term(value.snapshotTerm);
        body->set_configuration(value.configuration.encode());
        body->set_sent_at(value.sentAt);
        body->set_total_size(value.totalSize);
        body->set_offset(value.offset);
        body->set_data(value.data);
    }

    void encodeBody(snapshot_response const& value, messages::ConsensusMessage& message)
    {
        auto* body = message.mutable_snapshot_response();
        body->set_snapshot_index(value.snapshotIndex);
        body->set_sent_at(value.sentAt);
        body->set_next_offset(value.nextOffset);
    }

    void encodeBody(timeout_now const&, messages::ConsensusMessage& message) { message.mutable_timeout_now(); }

    void encodeBody(removal_notice const&, messages::ConsensusMessage& message) { message.mutable_removal_notice(); }

    void encodeBody(consensus_message const& value, messages::ControlMessage& message)
    {
        auto* consensus = message.mutable_consensus();
        consensus->set_cluster(value.cluster);
        consensus->set_sender(value.sender.value);
        consensus->set_receiver(value.receiver.value);
        consensus->set_term(value.term);
        std::visit([consensus](auto const& body) { encodeBody(body, *consensus); }, value.body);
    }

    void encodeBody(join_invitation const&, messages::ControlMessage& message) { message.mutable_invitation(); }

    void encodeBody(join_offer const& value, messages::ControlMessage& message)
    {
        message.mutable_offer()->set_token(value.token);
    }

    void encodeBody(join_identity const& value, messages::ControlMessage& message)
    {
        message.mutable_identity()->set_cluster(value.identity.cluster);
        message.mutable_identity()->set_member(value.identity.member.value);
        message.mutable_identity()->set_token(value.token);
    }

    void encodeBody(host_report const& value, messages::ControlMessage& message)
    {
        auto* report = message.mutable_report();
        report->set_zone(value.zone);
        report->set_revision(value.revision);
        report->set_condition(value.condition);
        for (auto const& row : value.balancers) {
            auto* item = report->add_balancers();
            item->set_host(row.host.value);
            item->set_zone(row.zone);
            item->set_revision(row.revision);
            item->set_state(row.state);
            item->set_age_milliseconds(static_cast<uint64_t>(
                std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(row.age).count())));
        }
    }

    /// @return Whether a received value is one of the enumerators 1 to `last`.
    template <typename Enumeration>
    bool isEnumerator(uint32_t value, Enumeration last)
    {
        return value >= 1 && value <= static_cast<uint32_t>(last);
    }

    absl::Status enumeratorOutOfRange()
    {
        return makeError(error_kind::InvalidArgument, "enumerator out of range in a control message");
    }

    absl::StatusOr<consensus_body> decodeBody(messages::VoteRequest const& message)
    {
        if (!isEnumerator(message.phase(), vote_phase::Vote)
            || !isEnumerator(message.cause(), election_cause::Transfer))
            return enumeratorOutOfRange();
        return consensus_body { vote_request { static_cast<vote_phase>(message.phase()),
            static_cast<election_cause>(message.cause()), message.election_term(), message.last_index(),
            message.last_term() } };
    }

    absl::StatusOr<consensus_body> decodeBody(messages::VoteResponse const& message)
    {
        if (!isEnumerator(message.phase(), vote_phase::Vote)
            || !isEnumerator(message.decision(), vote_decision::Granted))
            return enumeratorOutOfRange();
        return consensus_body { vote_response { static_cast<vote_phase>(message.phase()), message.election_term(),
            static_cast<vote_decision>(message.decision()) } };
    }

    absl::StatusOr<consensus_body> decodeBody(messages::AppendRequest const& message)
    {
        append_request request { message.previous_index(), message.previous_term(), message.commit_index(),
            message.sent_at(), {} };
        for (auto const& item : message.entries()) {
            if (!isEnumerator(item.kind(), entry_kind::Barrier))
                return enumeratorOutOfRange();
            request.entries.push_back(
                { item.term(), item.index(), static_cast<entry_kind>(item.kind()), item.payload() });
        }
        return consensus_body { std::move(request) };
    }

    absl::StatusOr<consensus_body> decodeBody(messages::AppendResponse const& message)
    {
        if (!isEnumerator(message.outcome(), append_outcome::Mismatch))
            return enumeratorOutOfRange();
        return consensus_body { append_response { static_cast<append_outcome>(message.outcome()), message.sent_at(),
            message.match_index(), message.refused_index(), message.conflict_term(), message.conflict_index() } };
    }

    absl::StatusOr<consensus_body> decodeBody(messages::SnapshotChunk const& message)
    {
        auto configuration = cluster_configuration::decode(message.configuration());
        if (!configuration.ok())
            return configuration.status();
        return consensus_body { snapshot_chunk { message.snapshot_index(), message.snapshot_term(),
            *std::move(configuration), message.sent_at(), message.total_size(), message.offset(), message.data() } };
    }

    absl::StatusOr<consensus_body> decodeBody(messages::ConsensusMessage const& message)
    {
        using kind = messages::ConsensusMessage::BodyCase;
        switch (message.body_case()) {
        case kind::kVoteRequest:
            return decodeBody(message.vote_request());
        case kind::kVoteResponse:
            return decodeBody(message.vote_response());
        case kind::kAppendRequest:
            return decodeBody(message.append_request());
        case kind::kAppendResponse:
            return decodeBody(message.append_response());
        case kind::kSnapshotChunk:
            return decodeBody(message.snapshot_chunk());
        case kind::kSnapshotResponse:
            return consensus_body { snapshot_response { message.snapshot_response().snapshot_index(),
                message.snapshot_response().sent_at(), message.snapshot_response().next_offset() } };
        case kind::kTimeoutNow:
            return consensus_body { timeout_now {} };
        case kind::kRemovalNotice:
            return consensus_body { removal_notice {} };
        case kind::BODY_NOT_SET:
            break;
        }
        return makeError(error_kind::InvalidArgument, "consensus message has no body or one of an unknown type");
    }

    absl::StatusOr<control_message::body_type> decodeConsensus(messages::ConsensusMessage const& message)
    {
        auto body = decodeBody(message);
        if (!body.ok())
            return body.status();
        return control_message::body_type { consensus_message { message.cluster(), member_id { message.sender() },
            member_id { message.receiver() }, message.term(), *std::move(body) } };
    }

    absl::StatusOr<control_message::body_type> decodeReport(messages::HostReport const& message)
    {
        host_report report { message.zone(), message.revision(), message.condition(), {} };
        for (auto const& item : message.balancers()) {
            auto const age = std::min(item.age_milliseconds(), maximumAgeMilliseconds);
            report.balancers.push_back({ host_id { item.host() }, item.zone(), item.revision(), item.state(),
                std::chrono::milliseconds(age) });
        }
        return control_message::body_type { std::move(report) };
    }

    absl::StatusOr<control_message::body_type> decodeBody(messages::ControlMessage const& message)
    {
        using kind = messages::ControlMessage::BodyCase;
        switch (message.body_case()) {
        case kind::kConsensus:
            return decodeConsensus(message.consensus());
        case kind::kInvitation:
            return control_message::body_type { join_invitation {} };
        case kind::kOffer:
            return control_message::body_type { join_offer { message.offer().token() } };
        case kind::kIdentity:
            return control_message::body_type { join_identity {
                { message.identity().cluster(), member_id { message.identity().member() } },
                message.identity().token() } };
        case kind::kReport:
            return decodeReport(message.report());
        case kind::BODY_NOT_SET:
            break;
        }
        return makeError(error_kind::InvalidArgument, "control message has no body or one of an unknown type");
    }

} // namespace

control_codec::control_codec(uint32_t deployment)
    : m_deployment(deployment)
{
}

std::string control_codec::encode(control_message const& message) const
{
    messages::ControlMessage encoded;
    encoded.set_deployment(m_deployment);
    encoded.set_host(message.sender.value);
    std::visit([&encoded](auto const& body) { encodeBody(body, encoded); }, message.body);
    return encoded.SerializeAsString();
}

absl::StatusOr<control_message> control_codec::decode(std::string_view bytes) const
{
    messages::ControlMessage encoded;
    if (bytes.size() > static_cast<size_t>(std::numeric_limits<int>::max())
        || !encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "control message is not valid protobuf");
    if (encoded.deployment() != m_deployment)
        return makeError(error_kind::FailedPrecondition, "control message was sent by a host of another deployment");
    auto body = decodeBody(encoded);
    if (!body.ok())
        return body.status();
    return control_message { host_id { encoded.host() }, *std::move(body) };
}

} // namespace bilberryyard
