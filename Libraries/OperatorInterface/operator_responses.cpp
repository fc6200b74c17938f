#include <OperatorInterface/operator_responses.h>

#include <Base/error_kind.h>
#include <Configuration/configuration_difference.h>
#include <Configuration/configuration_writer.h>
#include <Configuration/duration_text.h>
#include <Configuration/endpoint.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr int okStatus = 200;

    // Rounded to milliseconds: ages are shown to operators, and more digits would only vary between requests.
    std::string ageText(duration age)
    {
        auto const rounded = std::chrono::duration_cast<std::chrono::milliseconds>(age);
        return formatDuration(std::max(rounded, std::chrono::milliseconds(0)));
    }

    document textList(std::vector<std::string> const& texts)
    {
        std::vector<document> items;
        items.reserve(texts.size());
        for (auto const& text : texts)
            items.push_back(document::text(text));
        return document::list(std::move(items));
    }

    std::vector<document_member> readingMembers(configuration_reading const& reading)
    {
        return {
            { "revision", document::unsignedInteger(reading.revision) },
            { "current", document::boolean(reading.consistency == read_consistency::Current) },
            { "age", document::text(ageText(reading.age)) },
        };
    }

    std::string parameter(http_request const& request, std::string const& name)
    {
        auto const entry = request.query.find(name);
        return entry == request.query.end() ? std::string() : entry->second;
    }

    http_response makeSettingsResponse(http_request const& request, configuration_reading const& reading)
    {
        auto const name = parameter(request, "service");
        auto const* service = reading.value->findService(name);
        if (!service)
            return makeErrorResponse(
                request, makeError(error_kind::NotFound, "there is no service '" + name.substr(0, 64) + "'"));
        auto members = readingMembers(reading);
        members.push_back({ "service", document::text(name) });
        auto settings = reading.value->settingsOf(*service);
        if (request.query.contains("server")) {
            auto const server = endpoint::parse(parameter(request, "server"));
            if (!server.ok())
                return makeErrorResponse(request, server.status());
            members.push_back({ "server", document::text(server->toText()) });
            settings = reading.value->settingsOf(*service, *server);
        }
        members.push_back({ "settings", toDocument(settings) });
        return makeDocumentResponse(request, okStatus, document::map(std::move(members)));
    }

    document auditDocument(audit_entry const& entry)
    {
        auto const& result = entry.result;
        auto const outcome = result.error ? presentationFor(*result.error).name : std::string_view("accepted");
        return document::map({
            { "sequence", document::unsignedInteger(entry.sequence) },
            { "time", document::text(formatWallTime(entry.time)) },
            { "author", document::text(entry.author) },
            { "reason", document::text(entry.reason) },
            { "request_id", document::text(entry.requestId) },
            { "base_revision", document::unsignedInteger(entry.baseRevision) },
            { "revision", document::unsignedInteger(result.revision) },
            { "result", document::text(outcome) },
            { "message", document::text(result.message) },
            { "difference", textList(result.difference) },
        });
    }

    document statusDocument(host_status const& host)
    {
        return document::map({
            { "host_id", document::unsignedInteger(host.host.value) },
            { "zone", document::text(host.zone) },
            { "roles", textList(host.roles) },
            { "condition", document::text(host.condition) },
            { "active_revision", host.activeRevision ? document::unsignedInteger(*host.activeRevision) : document() },
            { "age", document::text(ageText(host.age)) },
        });
    }

    document memberDocument(control_member const& member)
    {
        return document::map({
            { "host_id", document::unsignedInteger(member.host.value) },
            { "peer", document::text(member.peer.toText()) },
            { "distribution", document::text(member.distribution.toText()) },
        });
    }

    template <typename Row>
    http_response makeListResponse(http_request const& request, std::string const& name, std::vector<Row> const& rows,
        document (*write)(Row const&), std::vector<document_member> members = {})
    {
        std::vector<document> items;
        items.reserve(rows.size());
        for (auto const& row : rows)
            items.push_back(write(row));
        members.push_back({ name, document::list(std::move(items)) });
        return makeDocumentResponse(request, okStatus, document::map(std::move(members)));
    }

} // namespace

http_response makeConfigurationResponse(http_request const& request, configuration_reading const& reading)
{
    if (auto const status = expectParameters(request, { "stale", "service", "server" }); !status.ok())
        return makeErrorResponse(request, status);
    auto const stale = parameter(request, "stale");
    if (!stale.empty() && stale != "allow")
        return makeErrorResponse(
            request, makeError(error_kind::InvalidArgument, "query parameter stale: the only value is 'allow'"));
    if (request.query.contains("server") && !request.query.contains("service"))
        return makeErrorResponse(
            request, makeError(error_kind::InvalidArgument, "query parameter server: needs the parameter service"));
    if (reading.consistency == read_consistency::Stale && stale.empty())
        return makeErrorResponse(request,
            makeError(error_kind::Unavailable,
                "this host cannot confirm that revision " + std::to_string(reading.revision)
                    + " is the latest one; it was confirmed " + ageText(reading.age) + " ago"),
            readingMembers(reading));
    if (request.query.contains("service"))
        return makeSettingsResponse(request, reading);
    auto members = readingMembers(reading);
    members.push_back({ "configuration", toDocument(*reading.value) });
    return makeDocumentResponse(request, okStatus, document::map(std::move(members)));
}

http_response makeChangeResponse(
    http_request const& request, std::string const& requestId, command_result const& result)
{
    std::vector<document_member> members {
        { "request_id", document::text(requestId) },
        { "revision", document::unsignedInteger(result.revision) },
        { "difference", textList(result.difference) },
    };
    if (!result.isAccepted())
        return makeErrorResponse(request, result.toStatus(), std::move(members));
    members.push_back({ "message", document::text(result.message) });
    return makeDocumentResponse(request, okStatus, document::map(std::move(members)));
}

http_response makeDryRunResponse(
    http_request const& request, configuration_command const& command, configuration_reading const& reading)
{
    command_result result { std::nullopt, "dry run: nothing was changed", reading.revision, {} };
    auto const respondWithError = [&](absl::Status const& status) {
        result.error = errorKindOf(status);
        result.message = messageOf(status);
        return makeChangeResponse(request, command.requestId, result);
    };
    if (reading.consistency == read_consistency::Stale)
        return respondWithError(
            makeError(error_kind::Unavailable, "this host cannot confirm which revision is the latest one"));
    if (command.baseRevision > reading.revision)
        return respondWithError(makeError(error_kind::FailedPrecondition,
            "base revision " + std::to_string(command.baseRevision) + " does not exist; the current one is "
                + std::to_string(reading.revision)));
    if (command.baseRevision < reading.revision)
        return respondWithError(makeError(error_kind::Conflict,
            "the configuration has changed since revision " + std::to_string(command.baseRevision)
                + "; the current one is " + std::to_string(reading.revision)));
    auto const changed = withChange(*reading.value, command.change);
    if (!changed.ok())
        return respondWithError(changed.status());
    result.difference = configuration_difference(*reading.value, *changed).lines();
    return makeChangeResponse(request, command.requestId, result);
}

http_response makeAuditResponse(http_request const& request, audit_page const& page)
{
    return makeListResponse<audit_entry>(request, "entries", page.entries, auditDocument,
        { { "first_kept", document::unsignedInteger(page.firstKept) },
            { "next", document::unsignedInteger(page.next) } });
}

http_response makeStatusResponse(http_request const& request, std::vector<host_status> const& hosts)
{
    return makeListResponse<host_status>(request, "hosts", hosts, statusDocument);
}

http_response makeMembersResponse(http_request const& request, std::vector<control_member> const& members)
{
    return makeListResponse<control_member>(request, "members", members, memberDocument);
}

std::string formatWallTime(wall_time time)
{
    auto const milliseconds = std::chrono::floor<std::chrono::milliseconds>(time);
    auto const seconds = std::chrono::floor<std::chrono::seconds>(milliseconds);
    auto const count = static_cast<std::time_t>(seconds.time_since_epoch().count());
    std::tm parts {};
    gmtime_r(&count, &parts);
    std::array<char, 32> date {};
    std::array<char, 8> fraction {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>((milliseconds - seconds).count()));
    return std::string(date.data()) + fraction.data();
}

} // namespace bilberryyard
