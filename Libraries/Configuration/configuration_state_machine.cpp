#include <Configuration/configuration_state_machine.h>

#include <Configuration/configuration_checks.h>
#include <Configuration/configuration_difference.h>
#include <Configuration/document_parser.h>
#include <algorithm>
#include <numeric>
#include <utility>

namespace bilberryyard {

namespace {

    // A result is stored with every request id and every audit entry, so its size is limited.
    constexpr size_t maximumDifferenceLines = 50;
    constexpr size_t maximumDifferenceLineLength = 200;
    constexpr size_t maximumMessageLength = 1000;
    constexpr size_t maximumAuditTextLength = 500;

    // Truncates at the start of a UTF-8 sequence, so that the text stays valid.
    std::string truncated(std::string_view text, size_t length)
    {
        if (text.size() <= length)
            return std::string(text);
        while (length > 0 && (static_cast<uint8_t>(text[length]) & 0xc0) == 0x80)
            --length;
        return std::string(text.substr(0, length)) + "...";
    }

    // Refused commands may contain invalid text, but the audit trail is shown to operators.
    std::string auditText(std::string_view text)
    {
        return isValidText(text) ? truncated(text, maximumAuditTextLength) : "(not readable)";
    }

    std::vector<std::string> truncatedLines(std::vector<std::string> lines)
    {
        size_t const count = lines.size();
        if (count > maximumDifferenceLines) {
            lines.resize(maximumDifferenceLines);
            lines.push_back("and " + std::to_string(count - maximumDifferenceLines) + " more changes");
        }
        for (auto& line : lines)
            line = truncated(line, maximumDifferenceLineLength);
        return lines;
    }

    size_t textSize(audit_entry const& entry)
    {
        auto const addLength = [](size_t sum, std::string const& line) { return sum + line.size(); };
        return std::accumulate(entry.result.difference.begin(), entry.result.difference.end(),
            entry.requestId.size() + entry.author.size() + entry.reason.size() + entry.result.message.size(),
            addLength);
    }

} // namespace

configuration_state_machine::configuration_state_machine(state_machine_limits limits)
    : m_limits(limits)
    , m_configuration(std::make_shared<configuration const>())
    , m_requests(limits.requestCapacity)
{
}

command_result configuration_state_machine::apply(std::string_view command)
{
    auto const decoded = configuration_command::decode(command);
    if (!decoded.ok()) {
        auto result = makeRefusal(decoded.status());
        addAuditEntry({}, result);
        return result;
    }
    if (auto const* record = m_requests.find(decoded->requestId)) {
        if (record->contentHash == decoded->contentHash())
            return record->result;
        auto result = makeRefusal(makeError(error_kind::InvalidArgument,
            "request id " + decoded->requestId + " was used for another change; choose a new request id"));
        addAuditEntry(*decoded, result);
        return result;
    }
    auto result = execute(*decoded);
    addAuditEntry(*decoded, result);
    return result;
}

command_result configuration_state_machine::execute(configuration_command const& command)
{
    if (!isValidRequestId(command.requestId))
        return makeRefusal(makeError(error_kind::InvalidArgument,
            "a request id is 1 to 128 of the characters A-Z, a-z, 0-9, '.', '_', ':' and '-'"));
    if (m_requests.isBelowHorizon(command.baseRevision))
        return makeRefusal(makeError(error_kind::FailedPrecondition,
            "base revision " + std::to_string(command.baseRevision)
                + " is too old to tell whether this request was executed before; read the audit trail for request id "
                + command.requestId + " and the configuration, and submit a new request if it is still needed"));
    if (command.baseRevision > m_revision && !m_requests.hasRoomForFutureBase(m_revision))
        return makeRefusal(makeError(error_kind::Unavailable,
            "base revision " + std::to_string(command.baseRevision)
                + " does not exist yet, and too many such requests are recorded; this request is undecided"));
    auto outcome = evaluate(command);
    if (outcome.value) {
        m_revision = outcome.result.revision;
        m_configuration = outcome.value;
        m_watermarks = outcome.watermarks;
    }
    m_requests.record({ command.requestId, command.contentHash(), command.baseRevision, outcome.result }, m_revision);
    return outcome.result;
}

absl::Status configuration_state_machine::checkAuthorAndReason(configuration_command const& command) const
{
    if (auto const error = findTextError(command.author))
        return makeError(error_kind::InvalidArgument, "author: " + *error);
    if (auto const error = findTextError(command.reason))
        return makeError(error_kind::InvalidArgument, "reason: " + *error);
    return absl::OkStatus();
}

configuration_state_machine::evaluation configuration_state_machine::evaluate(
    configuration_command const& command) const
{
    if (auto const status = checkAuthorAndReason(command); !status.ok())
        return { makeRefusal(status), nullptr, {} };
    if (command.baseRevision > m_revision)
        return { makeRefusal(makeError(error_kind::FailedPrecondition,
                     "base revision " + std::to_string(command.baseRevision) + " does not exist; the current one is "
                         + std::to_string(m_revision))),
            nullptr, {} };
    if (command.baseRevision < m_revision) {
        auto result = makeRefusal(makeError(error_kind::Conflict,
            "the configuration has changed since revision " + std::to_string(command.baseRevision)
                + "; the current one is " + std::to_string(m_revision)));
        result.difference = changesSince(command.baseRevision);
        return { std::move(result), nullptr, {} };
    }
    auto assigned = changedConfiguration(command);
    if (!assigned.ok())
        return { makeRefusal(assigned.status()), nullptr, {} };
    if (assigned->value == *m_configuration)
        return { command_result { std::nullopt, "no change", m_revision, {} }, nullptr, {} };
    configuration_difference const difference(*m_configuration, assigned->value);
    return { command_result { std::nullopt, {}, m_revision + 1, truncatedLines(difference.lines()) },
        std::make_shared<configuration const>(std::move(assigned->value)), assigned->watermarks };
}

absl::StatusOr<assigned_configuration> configuration_state_machine::changedConfiguration(
    configuration_command const& command) const
{
    auto const requested = withChange(*m_configuration, command.change);
    if (!requested.ok())
        return requested.status();
    return assignIdentifiers(*requested, *m_configuration, m_watermarks);
}

command_result configuration_state_machine::makeRefusal(absl::Status const& status) const
{
    return { errorKindOf(status), truncated(messageOf(status), maximumMessageLength), m_revision, {} };
}

void configuration_state_machine::addAuditEntry(configuration_command const& command, command_result const& result)
{
    m_audit.push_back({ m_nextAuditSequence++, auditText(command.requestId), auditText(command.author),
        auditText(command.reason), command.time, command.baseRevision, result });
    m_auditBytes += textSize(m_audit.back());
    trimAudit();
}

void configuration_state_machine::replaceAudit(std::deque<audit_entry> entries, uint64_t next)
{
    m_nextAuditSequence = next;
    m_audit = std::move(entries);
    m_auditBytes = 0;
    for (auto const& entry : m_audit)
        m_auditBytes += textSize(entry);
}

void configuration_state_machine::trimAudit()
{
    while (!m_audit.empty() && (m_audit.size() > m_limits.auditCapacity || m_auditBytes > m_limits.auditBytes)) {
        m_auditBytes -= textSize(m_audit.front());
        m_audit.pop_front();
    }
}

command_result const* configuration_state_machine::findResult(std::string_view requestId) const
{
    auto const* record = m_requests.find(requestId);
    return record ? &record->result : nullptr;
}

audit_page configuration_state_machine::audit(audit_query const& query) const
{
    uint64_t const firstKept = m_nextAuditSequence - m_audit.size();
    audit_page page { firstKept, m_nextAuditSequence, {} };
    uint64_t const end = std::min(query.last, m_nextAuditSequence - 1) + 1;
    uint64_t const available = end > firstKept ? end - firstKept : 0;
    uint64_t first = end - std::min(query.limit, available);
    if (query.first)
        first = std::max(*query.first, firstKept);
    for (uint64_t sequence = first; sequence < end && page.entries.size() < query.limit; ++sequence)
        page.entries.push_back(m_audit[sequence - firstKept]);
    return page;
}

std::vector<std::string> configuration_state_machine::changesSince(uint64_t base) const
{
    std::vector<std::string> lines;
    uint64_t lastListed = base;
    for (auto const& entry : m_audit) {
        bool const changedRevision = entry.result.isAccepted() && entry.result.revision > entry.baseRevision;
        if (!changedRevision || entry.result.revision <= base)
            continue;
        if (entry.result.revision > lastListed + 1)
            lines.push_back("changes before revision " + std::to_string(entry.result.revision) + " are no longer kept");
        lastListed = entry.result.revision;
        auto const prefix = "revision " + std::to_string(lastListed) + " by " + entry.author + ": ";
        for (auto const& line : entry.result.difference)
            lines.push_back(prefix + line);
    }
    return truncatedLines(std::move(lines));
}

} // namespace bilberryyard
