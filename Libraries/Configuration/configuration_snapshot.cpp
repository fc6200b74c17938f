#include <Configuration/configuration_state_machine.h>

#include <Configuration/configuration_codec.h>
#include <Messages/configuration.pb.h>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr uint32_t snapshotFormat = 1;

    absl::Status snapshotError(std::string_view reason)
    {
        return makeError(error_kind::DataLoss, "configuration snapshot: " + std::string(reason));
    }

    absl::StatusOr<std::vector<request_record>> readRequests(messages::ConfigurationSnapshot const& message)
    {
        std::vector<request_record> records;
        for (auto const& request : message.requests()) {
            auto result = fromMessage(request.result());
            if (!result.ok())
                return result.status();
            records.push_back(
                { request.request_id(), request.command_hash(), request.base_revision(), *std::move(result) });
        }
        return records;
    }

    absl::StatusOr<std::deque<audit_entry>> readAudit(messages::ConfigurationSnapshot const& message)
    {
        std::deque<audit_entry> entries;
        uint64_t expected = message.next_audit_sequence() - static_cast<uint64_t>(message.audit_size());
        for (auto const& encoded : message.audit()) {
            auto entry = fromMessage(encoded);
            if (!entry.ok())
                return entry.status();
            if (entry->sequence != expected++)
                return snapshotError("the sequence numbers of the audit entries are not consecutive");
            entries.push_back(*std::move(entry));
        }
        return entries;
    }

} // namespace

std::string configuration_state_machine::snapshot() const
{
    messages::ConfigurationSnapshot message;
    message.set_format(snapshotFormat);
    message.set_revision(m_revision);
    toMessage(m_configuration->parts(), *message.mutable_configuration());
    message.set_next_service_id(m_watermarks.nextServiceId);
    message.set_next_zone_id(m_watermarks.nextZoneId);
    message.set_request_horizon(m_requests.horizon());
    for (auto const& record : m_requests.records()) {
        auto& request = *message.add_requests();
        request.set_request_id(record.requestId);
        request.set_command_hash(record.contentHash);
        request.set_base_revision(record.baseRevision);
        toMessage(record.result, *request.mutable_result());
    }
    message.set_next_audit_sequence(m_nextAuditSequence);
    for (auto const& entry : m_audit)
        toMessage(entry, *message.add_audit());
    return message.SerializeAsString();
}

absl::Status configuration_state_machine::restore(std::string_view bytes)
{
    messages::ConfigurationSnapshot message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return snapshotError("the data cannot be parsed as a ConfigurationSnapshot message");
    if (message.format() != snapshotFormat)
        return snapshotError("unsupported format " + std::to_string(message.format()));
    auto parts = fromMessage(message.configuration());
    if (!parts.ok())
        return snapshotError(messageOf(parts.status()));
    auto value = configuration::create(*std::move(parts));
    if (!value.ok())
        return snapshotError(messageOf(value.status()));
    auto records = readRequests(message);
    if (!records.ok())
        return records.status();
    auto audit = readAudit(message);
    if (!audit.ok())
        return audit.status();
    if (auto status = m_requests.restore(*std::move(records), message.request_horizon()); !status.ok())
        return status;
    m_revision = message.revision();
    m_configuration = std::make_shared<configuration const>(*std::move(value));
    m_watermarks = { message.next_service_id(), message.next_zone_id() };
    replaceAudit(*std::move(audit), message.next_audit_sequence());
    return absl::OkStatus();
}

} // namespace bilberryyard
