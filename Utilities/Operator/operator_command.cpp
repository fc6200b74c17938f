#include "operator_command.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/document_parser.h>
#include <Configuration/document_writer.h>
#include <charconv>
#include <utility>

namespace bilberryyard {

operator_command::operator_command(command_line line, operator_session session, response_printer printer)
    : m_line(std::move(line))
    , m_session(std::move(session))
    , m_printer(printer)
{
}

int operator_command::run()
{
    if (m_line.requestedOperation == operation::CheckConfiguration)
        return checkConfigurationFile();
    auto request = makeRequest();
    if (!request.ok())
        return reportError({ request.status(), m_baseReadResult.body, {}, false });
    auto const result = m_session.send(*std::move(request));
    if (!result.status.ok())
        return reportError(result);
    m_printer.print(m_line, result);
    return 0;
}

int operator_command::checkConfigurationFile()
{
    auto const compared = readComparedConfiguration();
    if (!compared.ok())
        return reportError({ compared.status(), m_baseReadResult.body, {}, false });
    auto const report = checkConfiguration(m_line.file, *compared);
    if (!report.ok())
        return reportError({ report.status(), {}, {}, false });
    m_printer.print(m_line.printsJson ? report->toJson() : report->toText());
    return report->exitCode();
}

absl::StatusOr<std::optional<configuration>> operator_command::readComparedConfiguration()
{
    if (!m_line.against.empty()) {
        auto compared = readConfigurationFile(m_line.against);
        return compared.ok() ? absl::StatusOr<std::optional<configuration>>(*std::move(compared)) : compared.status();
    }
    if (m_line.endpoints.empty())
        return std::nullopt;
    m_baseReadResult = m_session.send({ "GET", "/v1/configuration", {}, {}, {} });
    if (!m_baseReadResult.status.ok())
        return m_baseReadResult.status;
    auto const* const value = m_baseReadResult.body.find("configuration");
    if (!value)
        return makeError(error_kind::Internal, "the host's response has no configuration");
    auto inForce = configuration_reader("the configuration in force").read(*value);
    if (!inForce.ok())
        return inForce.status();
    return std::optional(*std::move(inForce));
}

absl::StatusOr<http_request> operator_command::makeRequest()
{
    switch (m_line.requestedOperation) {
    case operation::Status:
        return http_request { "GET", "/v1/status", {}, {}, {} };
    case operation::Get:
        return makeGetRequest();
    case operation::Apply:
        return makeApplyRequest();
    case operation::ExceptionAdd:
    case operation::ExceptionRemove:
    case operation::Drain:
        return makeExceptionRequest();
    case operation::Explain:
        return http_request { "GET", "/v1/explain", { { "flow", m_line.flow } }, {}, {} };
    case operation::Audit:
        return makeAuditRequest();
    case operation::MemberList:
        return http_request { "GET", "/v1/members", {}, {}, {} };
    case operation::MemberAdd:
    case operation::MemberRemove:
        return makeMemberRequest();
    default:
        return http_request { "GET", "/metrics", {}, {}, {} };
    }
}

http_request operator_command::makeGetRequest() const
{
    http_request request { "GET", "/v1/configuration", {}, {}, {} };
    if (m_line.allowStale)
        request.query.emplace("stale", "allow");
    if (!m_line.service.empty())
        request.query.emplace("service", m_line.service);
    if (!m_line.server.empty())
        request.query.emplace("server", m_line.server);
    return request;
}

http_request operator_command::makeAuditRequest() const
{
    http_request request { "GET", "/v1/audit", {}, {}, {} };
    if (!m_line.first.empty())
        request.query.emplace("first", m_line.first);
    if (!m_line.last.empty())
        request.query.emplace("last", m_line.last);
    if (!m_line.limit.empty())
        request.query.emplace("limit", m_line.limit);
    return request;
}

absl::StatusOr<http_request> operator_command::makeApplyRequest()
{
    auto const text = readTextFile(m_line.file);
    if (!text.ok())
        return text.status();
    // Validates the file before anything is sent, so that errors name the path that the operator typed.
    if (auto const value = configuration_reader(m_line.file).read(*text); !value.ok())
        return value.status();
    return makeChangeRequest({ { "file", document::text(m_line.file) }, { "configuration", document::text(*text) } });
}

absl::StatusOr<http_request> operator_command::makeExceptionRequest()
{
    bool const isRemoval = m_line.requestedOperation == operation::ExceptionRemove || m_line.undo;
    std::vector<document_member> members {
        { "target", document::text(m_line.target) },
        { "key", document::text(m_line.key) },
    };
    if (isRemoval)
        return makeChangeRequest({ { "remove_exception", document::map(std::move(members)) } });
    members.push_back({ "value", document::text(m_line.value) });
    members.push_back({ "reason", document::text(m_line.change.reason) });
    members.push_back({ "author", document::text(m_line.change.author) });
    return makeChangeRequest({ { "add_exception", document::map(std::move(members)) } });
}

absl::StatusOr<http_request> operator_command::makeChangeRequest(std::vector<document_member> members)
{
    if (auto status = fetchBaseRevision(); !status.ok())
        return status;
    auto body = changeMetadata();
    body.push_back({ "base_revision", document::unsignedInteger(*m_line.change.base) });
    body.insert(body.end(), members.begin(), members.end());
    http_request request { "POST", "/v1/changes", {}, {}, writeJson(document::map(std::move(body))) };
    if (m_line.change.dryRun)
        request.query.emplace("dry_run", "true");
    return request;
}

absl::Status operator_command::fetchBaseRevision()
{
    if (m_line.change.base)
        return absl::OkStatus();
    m_baseReadResult = m_session.send({ "GET", "/v1/configuration", {}, {}, {} });
    if (!m_baseReadResult.status.ok())
        return m_baseReadResult.status;
    auto const* revision = m_baseReadResult.body.find("revision");
    uint64_t base = 0;
    if (!revision
        || std::from_chars(revision->scalar().data(), revision->scalar().data() + revision->scalar().size(), base).ec
            != std::errc())
        return makeError(error_kind::Internal, "the host's response has no valid revision");
    m_line.change.base = base;
    return absl::OkStatus();
}

http_request operator_command::makeMemberRequest() const
{
    auto body = changeMetadata();
    if (m_line.requestedOperation == operation::MemberRemove)
        return { "DELETE", "/v1/members/" + percentEncode(m_line.host), {}, {},
            writeJson(document::map(std::move(body))) };
    body.push_back({ "host_id", document::text(m_line.host) });
    body.push_back({ "peer", document::text(m_line.peer) });
    body.push_back({ "distribution", document::text(m_line.distribution) });
    return { "POST", "/v1/members", {}, {}, writeJson(document::map(std::move(body))) };
}

std::vector<document_member> operator_command::changeMetadata() const
{
    return {
        { "request_id", document::text(m_line.change.requestId) },
        { "author", document::text(m_line.change.author) },
        { "reason", document::text(m_line.change.reason) },
    };
}

int operator_command::reportError(session_result result) const
{
    bool const isChange = !m_line.change.requestId.empty() && !m_line.change.dryRun;
    if (isChange && result.isOutcomeUnknown) {
        std::string retryHint = "; the change may or may not have been made. To find out or to complete it, "
                                "repeat the command with --request-id "
            + m_line.change.requestId;
        if (m_line.change.base)
            retryHint += " --base " + std::to_string(*m_line.change.base);
        result.status = makeError(errorKindOf(result.status), messageOf(result.status) + retryHint);
    }
    m_printer.printError(m_line, result);
    return presentationFor(errorKindOf(result.status)).exitCode;
}

} // namespace bilberryyard
