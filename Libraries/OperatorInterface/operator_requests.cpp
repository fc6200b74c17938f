#include <OperatorInterface/operator_requests.h>

#include <Base/error_kind.h>
#include <Configuration/configuration_checks.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/document_parser.h>
#include <Configuration/located_document.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr std::string_view bodyName = "body";
    constexpr uint64_t maximumHostId = 4094;
    constexpr uint64_t maximumAuditLimit = 1000;
    constexpr size_t maximumFileNameLength = 200;

    absl::Status parameterError(std::string const& name, std::string const& message)
    {
        return makeError(error_kind::InvalidArgument, "query parameter " + name + ": " + message);
    }

    absl::StatusOr<uint64_t> parseUnsigned(std::string const& name, std::string const& text, uint64_t maximum)
    {
        uint64_t value = 0;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value > maximum)
            return parameterError(name, "expected a whole number up to " + std::to_string(maximum));
        return value;
    }

    absl::StatusOr<std::string> requiredText(located_document const& node, std::string_view key)
    {
        auto const member = node.required(key);
        if (!member.ok())
            return member.status();
        return member->asText();
    }

    absl::StatusOr<std::string> requiredSentence(located_document const& node, std::string_view key)
    {
        auto text = requiredText(node, key);
        if (!text.ok())
            return text;
        if (auto const inputError = findTextError(*text))
            return node.required(key)->inputError(*inputError);
        return text;
    }

    absl::StatusOr<std::string> requiredRequestId(located_document const& node)
    {
        auto text = requiredText(node, "request_id");
        if (!text.ok())
            return text;
        if (!isValidRequestId(*text))
            return node.required("request_id")
                ->inputError("a request id is 1 to 128 of the characters A-Z, a-z, 0-9, '.', '_', ':' and '-'");
        return text;
    }

    // The configuration is sent as a single text, so that error messages contain line numbers of the operator's file.
    absl::StatusOr<configuration_command::change_type> readReplacement(
        located_document const& root, located_document const& node)
    {
        auto const text = node.asText();
        if (!text.ok())
            return text.status();
        std::string file = "configuration";
        if (root.value().find("file")) {
            auto const name = root.required("file")->asText();
            if (!name.ok())
                return name.status();
            file = name->substr(0, maximumFileNameLength);
        }
        auto const value = configuration_reader(file).read(*text);
        if (!value.ok())
            return value.status();
        return makeReplaceChange(*value);
    }

    absl::StatusOr<configuration_command::change_type> readRemoval(located_document const& node)
    {
        static constexpr std::array<std::string_view, 2> keys { "target", "key" };
        if (auto status = node.expectKeys(keys); !status.ok())
            return status;
        auto const targetText = requiredText(node, "target");
        if (!targetText.ok())
            return targetText.status();
        auto const target = exception_target::parse(*targetText);
        if (!target.ok())
            return node.required("target")->inputError(messageOf(target.status()));
        auto const key = requiredText(node, "key");
        if (!key.ok())
            return key.status();
        if (!findSettingKey(*key)) {
            auto const names = settingNames([](setting_scope scope) { return scope != setting_scope::Fleet; });
            return node.required("key")->inputError("unknown setting" + nameHint(*key, names));
        }
        return remove_exception_change { *target, *key };
    }

    absl::StatusOr<configuration_command::change_type> readChange(located_document const& root)
    {
        static constexpr std::array<std::string_view, 3> kinds { "configuration", "add_exception", "remove_exception" };
        auto const count
            = std::count_if(kinds.begin(), kinds.end(), [&](auto kind) { return root.value().find(kind) != nullptr; });
        if (count != 1)
            return root.inputError("exactly one of configuration, add_exception and remove_exception is needed");
        if (root.value().find("configuration"))
            return readReplacement(root, *root.required("configuration"));
        if (root.value().find("remove_exception"))
            return readRemoval(*root.required("remove_exception"));
        auto const node = root.required("add_exception");
        auto const exception = configuration_reader("add_exception").readException(node->value());
        if (!exception.ok())
            return exception.status();
        return makeAddExceptionChange(*exception);
    }

} // namespace

absl::StatusOr<configuration_command> readChangeRequest(http_request const& request)
{
    static constexpr std::array<std::string_view, 8> keys { "request_id", "base_revision", "author", "reason", "file",
        "configuration", "add_exception", "remove_exception" };
    auto const tree = parseDocument(request.body, bodyName);
    if (!tree.ok())
        return tree.status();
    located_document const root(bodyName, *tree);
    if (auto status = root.expectKeys(keys); !status.ok())
        return status;
    configuration_command command;
    auto id = requiredRequestId(root);
    if (!id.ok())
        return id.status();
    command.requestId = *std::move(id);
    auto const baseNode = root.required("base_revision");
    if (!baseNode.ok())
        return baseNode.status();
    auto const base = baseNode->asUnsigned(0, std::numeric_limits<int64_t>::max());
    if (!base.ok())
        return base.status();
    command.baseRevision = *base;
    auto author = requiredSentence(root, "author");
    if (!author.ok())
        return author.status();
    command.author = *std::move(author);
    auto reason = requiredSentence(root, "reason");
    if (!reason.ok())
        return reason.status();
    command.reason = *std::move(reason);
    auto change = readChange(root);
    if (!change.ok())
        return change.status();
    command.change = *std::move(change);
    return command;
}

namespace {

    absl::StatusOr<endpoint> requiredEndpoint(located_document const& node, std::string_view key)
    {
        auto const text = requiredText(node, key);
        if (!text.ok())
            return text.status();
        auto const parsed = endpoint::parse(*text);
        if (!parsed.ok())
            return node.required(key)->inputError(messageOf(parsed.status()));
        return *parsed;
    }

    absl::Status readMember(located_document const& root, control_member& member)
    {
        auto const hostNode = root.required("host_id");
        if (!hostNode.ok())
            return hostNode.status();
        auto const host = hostNode->asUnsigned(1, maximumHostId);
        if (!host.ok())
            return host.status();
        member.host = host_id { static_cast<uint32_t>(*host) };
        auto const peer = requiredEndpoint(root, "peer");
        if (!peer.ok())
            return peer.status();
        member.peer = *peer;
        auto const distribution = requiredEndpoint(root, "distribution");
        if (!distribution.ok())
            return distribution.status();
        member.distribution = *distribution;
        return absl::OkStatus();
    }

    absl::Status readAuditFields(located_document const& root, member_change& change)
    {
        auto id = requiredRequestId(root);
        if (!id.ok())
            return id.status();
        change.requestId = *std::move(id);
        auto author = requiredSentence(root, "author");
        if (!author.ok())
            return author.status();
        change.author = *std::move(author);
        auto reason = requiredSentence(root, "reason");
        if (!reason.ok())
            return reason.status();
        change.reason = *std::move(reason);
        return absl::OkStatus();
    }

    absl::Status readRemovedHost(http_request const& request, member_change& change)
    {
        static constexpr std::string_view prefix = "/v1/members/";
        if (!request.path.starts_with(prefix))
            return makeError(error_kind::InvalidArgument, "the host is missing in the path; expected /v1/members/HOST");
        uint32_t host = 0;
        auto const* const first = request.path.data() + prefix.size();
        auto const* const last = request.path.data() + request.path.size();
        auto const [end, error] = std::from_chars(first, last, host);
        if (error != std::errc() || end != last || host == 0 || host > maximumHostId)
            return makeError(error_kind::InvalidArgument, "a host number is 1 to " + std::to_string(maximumHostId));
        change.kind = member_change_kind::Remove;
        change.member.host = host_id { host };
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<member_change> readMemberRequest(http_request const& request)
{
    static constexpr std::array<std::string_view, 6> addKeys { "request_id", "author", "reason", "host_id", "peer",
        "distribution" };
    static constexpr std::array<std::string_view, 3> removeKeys { "request_id", "author", "reason" };
    auto const tree = parseDocument(request.body, bodyName);
    if (!tree.ok())
        return tree.status();
    located_document const root(bodyName, *tree);
    bool const isAdd = request.method == "POST";
    auto status = isAdd ? root.expectKeys(addKeys) : root.expectKeys(removeKeys);
    member_change change;
    if (status.ok())
        status = readAuditFields(root, change);
    if (status.ok())
        status = isAdd ? readMember(root, change.member) : readRemovedHost(request, change);
    if (!status.ok())
        return status;
    return change;
}

absl::StatusOr<audit_query> readAuditRequest(http_request const& request)
{
    if (auto status = expectParameters(request, { "first", "last", "limit" }); !status.ok())
        return status;
    audit_query query;
    for (auto const& [name, text] : request.query) {
        auto const value = parseUnsigned(name, text,
            name == "limit" ? maximumAuditLimit : static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
        if (!value.ok())
            return value.status();
        if (name == "first")
            query.first = *value;
        else if (name == "last")
            query.last = *value;
        else
            query.limit = *value;
    }
    return query;
}

absl::Status expectParameters(http_request const& request, std::vector<std::string_view> const& known)
{
    for (auto const& [name, value] : request.query) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return parameterError(name.substr(0, maximumFileNameLength),
                known.empty() ? std::string("the path accepts no query parameters")
                              : "unknown" + nameHint(name, known));
    }
    return absl::OkStatus();
}

} // namespace bilberryyard
