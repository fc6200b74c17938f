#include "command_line.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_checks.h>
#include <Configuration/configuration_command.h>
#include <Configuration/duration_text.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <docopt/docopt.h>
#include <map>
#include <random>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr std::string_view usageText = R"(bilberryyard - operates a bilberryyard deployment.

Usage:
  bilberryyard [options] [--endpoint=ADDRESS]... status
  bilberryyard [options] [--endpoint=ADDRESS]... get [--service=NAME] [--server=ADDRESS] [--stale]
  bilberryyard [options] [--endpoint=ADDRESS]... apply --from=FILE --reason=TEXT --base=REVISION [--dry-run]
  bilberryyard [options] [--endpoint=ADDRESS]... check-configuration --from=FILE [--against=FILE] [--json]
  bilberryyard [options] [--endpoint=ADDRESS]... exception add TARGET KEY VALUE --reason=TEXT [--base=REVISION] [--dry-run]
  bilberryyard [options] [--endpoint=ADDRESS]... exception remove TARGET KEY --reason=TEXT [--base=REVISION] [--dry-run]
  bilberryyard [options] [--endpoint=ADDRESS]... drain SERVER --reason=TEXT [--undo] [--base=REVISION] [--dry-run]
  bilberryyard [options] [--endpoint=ADDRESS]... explain FLOW
  bilberryyard [options] [--endpoint=ADDRESS]... audit [--first=NUMBER] [--last=NUMBER] [--limit=COUNT]
  bilberryyard [options] [--endpoint=ADDRESS]... member list
  bilberryyard [options] [--endpoint=ADDRESS]... member add HOST PEER DISTRIBUTION --reason=TEXT
  bilberryyard [options] [--endpoint=ADDRESS]... member remove HOST --reason=TEXT
  bilberryyard [options] [--endpoint=ADDRESS]... metrics
  bilberryyard --help
  bilberryyard --version

Arguments:
  TARGET        service/NAME or server/ADDRESS:PORT
  SERVER        ADDRESS:PORT with which the backend server registered
  FLOW          for example 'tcp 192.0.2.1:4000 -> 198.51.100.1:80'
  HOST          identifier of a control host
  PEER, DISTRIBUTION  ADDRESS:PORT of its peer and distribution sockets

Options:
  --endpoint=ADDRESS  HTTP address of a host, such as 127.0.0.1:8080; may be repeated. Without it, the
                      list in BILBERRYYARD_ENDPOINTS is used, separated by commas or spaces.
  --output=FORMAT     text or yaml [default: text].
  --timeout=DURATION  Timeout of the whole command, including resends [default: 10s].
  --request-id=ID     Request id of a change; resends a change whose outcome is unknown; needs --base.
  --author=NAME       Author of the change; defaults to BILBERRYYARD_AUTHOR, then USER.
  --reason=TEXT       Reason for the change; stored in the audit trail.
  --base=REVISION     Revision that the change is based on; defaults to the current revision.
  --dry-run           Show the difference without making the change.
  --from=FILE         Configuration file in YAML.
  --against=FILE      Configuration to compare with; without it and with an endpoint, the one in force.
  --json              Print the result of check-configuration as JSON.
  --service=NAME      Show the settings in effect for a service.
  --server=ADDRESS    With --service, show the settings in effect for one of its servers.
  --stale             Accept data that may not be the latest.
  --undo              End draining.
  --first=NUMBER      Sequence number of the first audit entry; defaults to the latest entries.
  --last=NUMBER       Sequence number of the last audit entry.
  --limit=COUNT       Maximum number of audit entries, up to 1000.
  -h --help           Show this text.
  --version           Show the version.

The exit code of check-configuration is 0 for a clean configuration, 1 for one with warnings, 64 for an error.
Otherwise the exit code is 0 for success; otherwise it gives the kind of the error:
64 invalid_argument, 65 data_loss, 66 not_found, 69 unavailable, 70 internal, 71 resource_exhausted,
73 conflict, 74 deadline_exceeded, 75 not_leader, 77 permission_denied, 78 failed_precondition.
)";

    using arguments_map = std::map<std::string, docopt::value>;

    absl::Status invalidArgument(std::string const& message) { return makeError(error_kind::InvalidArgument, message); }

    std::string textOf(arguments_map const& values, std::string const& name)
    {
        auto const entry = values.find(name);
        return entry != values.end() && entry->second.isString() ? entry->second.asString() : std::string();
    }

    bool isGiven(arguments_map const& values, std::string const& name)
    {
        auto const entry = values.find(name);
        return entry != values.end() && entry->second.isBool() && entry->second.asBool();
    }

    operation operationOf(arguments_map const& values)
    {
        struct row {
            std::array<char const*, 2> words;
            operation requestedOperation;
        };
        static constexpr std::array<row, 12> rows { {
            { { "status", "status" }, operation::Status },
            { { "get", "get" }, operation::Get },
            { { "apply", "apply" }, operation::Apply },
            { { "check-configuration", "check-configuration" }, operation::CheckConfiguration },
            { { "exception", "add" }, operation::ExceptionAdd },
            { { "exception", "remove" }, operation::ExceptionRemove },
            { { "drain", "drain" }, operation::Drain },
            { { "explain", "explain" }, operation::Explain },
            { { "audit", "audit" }, operation::Audit },
            { { "member", "list" }, operation::MemberList },
            { { "member", "add" }, operation::MemberAdd },
            { { "member", "remove" }, operation::MemberRemove },
        } };
        for (auto const& candidate : rows) {
            if (isGiven(values, candidate.words[0]) && isGiven(values, candidate.words[1]))
                return candidate.requestedOperation;
        }
        return operation::Metrics;
    }

    bool isChange(operation requestedOperation)
    {
        switch (requestedOperation) {
        case operation::Apply:
        case operation::ExceptionAdd:
        case operation::ExceptionRemove:
        case operation::Drain:
        case operation::MemberAdd:
        case operation::MemberRemove:
            return true;
        default:
            return false;
        }
    }

    std::string newRequestId()
    {
        static constexpr std::string_view hexDigits = "0123456789abcdef";
        std::random_device source;
        std::string id = "cli-";
        for (int index = 0; index < 32; ++index)
            id += hexDigits[source() & 0xf];
        return id;
    }

    std::vector<std::string> splitList(std::string const& text)
    {
        std::vector<std::string> parts;
        size_t position = 0;
        while ((position = text.find_first_not_of(", \t", position)) != std::string::npos) {
            size_t const end = text.find_first_of(", \t", position);
            parts.push_back(text.substr(position, end - position));
            position = std::min(end, text.size());
        }
        return parts;
    }

    absl::Status parseEndpoints(
        arguments_map const& values, command_line::environment const& environment, command_line& line)
    {
        auto const endpointValues = values.find("--endpoint");
        std::vector<std::string> texts;
        if (endpointValues != values.end() && endpointValues->second.isStringList())
            texts = endpointValues->second.asStringList();
        if (texts.empty())
            texts = splitList(environment("BILBERRYYARD_ENDPOINTS"));
        // A file can be checked without a running deployment.
        if (texts.empty() && line.requestedOperation != operation::CheckConfiguration)
            return invalidArgument("no endpoint is given: use --endpoint or set BILBERRYYARD_ENDPOINTS");
        for (auto const& text : texts) {
            auto const parsed = endpoint::parse(text);
            if (!parsed.ok())
                return invalidArgument("endpoint: " + messageOf(parsed.status()));
            line.endpoints.push_back(*parsed);
        }
        return absl::OkStatus();
    }

    absl::Status parseBaseRevision(arguments_map const& values, change_arguments& change)
    {
        auto const text = textOf(values, "--base");
        if (text.empty())
            return absl::OkStatus();
        uint64_t base = 0;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), base);
        if (error != std::errc() || end != text.data() + text.size())
            return invalidArgument("--base: '" + text + "' is not a revision number");
        change.base = base;
        return absl::OkStatus();
    }

    absl::Status parseChange(
        arguments_map const& values, command_line::environment const& environment, command_line& line)
    {
        auto& change = line.change;
        bool const isMemberChange
            = line.requestedOperation == operation::MemberAdd || line.requestedOperation == operation::MemberRemove;
        if (auto status = parseBaseRevision(values, change); !status.ok())
            return status;
        change.requestId = textOf(values, "--request-id");
        // Without --base the current revision would be read again, and a resend would be a different change with
        // the same request id.
        if (!change.requestId.empty() && !change.base && !isMemberChange)
            return invalidArgument("--request-id needs --base with the revision of the first attempt");
        if (change.requestId.empty())
            change.requestId = newRequestId();
        if (!isValidRequestId(change.requestId))
            return invalidArgument(
                "--request-id: 1 to 128 of the characters A-Z, a-z, 0-9, '.', '_', ':' and '-' are allowed");
        change.reason = textOf(values, "--reason");
        if (auto const inputError = findTextError(change.reason))
            return invalidArgument("--reason " + *inputError);
        change.author = textOf(values, "--author");
        for (char const* variable : { "BILBERRYYARD_AUTHOR", "USER" })
            change.author = change.author.empty() ? environment(variable) : change.author;
        if (auto const inputError = findTextError(change.author))
            return invalidArgument("the author " + *inputError + "; give --author or set BILBERRYYARD_AUTHOR");
        change.dryRun = isGiven(values, "--dry-run");
        return absl::OkStatus();
    }

    absl::Status parseOutput(arguments_map const& values, command_line& line)
    {
        auto const format = textOf(values, "--output");
        if (format != "text" && format != "yaml")
            return invalidArgument("--output: '" + format + "' is not allowed; expected text or yaml");
        line.output = format == "yaml" ? output_format::Yaml : output_format::Text;
        auto const timeout = parseDuration(textOf(values, "--timeout"));
        if (!timeout.ok())
            return invalidArgument("--timeout: " + messageOf(timeout.status()));
        line.timeout = *timeout;
        return absl::OkStatus();
    }

    void copyPlainArguments(arguments_map const& values, command_line& line)
    {
        line.file = textOf(values, "--from");
        line.against = textOf(values, "--against");
        line.printsJson = isGiven(values, "--json");
        line.target = textOf(values, "TARGET");
        line.key = textOf(values, "KEY");
        line.value = textOf(values, "VALUE");
        line.undo = isGiven(values, "--undo");
        line.flow = textOf(values, "FLOW");
        line.service = textOf(values, "--service");
        line.server = textOf(values, "--server");
        line.allowStale = isGiven(values, "--stale");
        line.first = textOf(values, "--first");
        line.last = textOf(values, "--last");
        line.limit = textOf(values, "--limit");
        line.host = textOf(values, "HOST");
        line.peer = textOf(values, "PEER");
        line.distribution = textOf(values, "DISTRIBUTION");
        if (line.requestedOperation == operation::Drain) {
            line.target = "server/" + textOf(values, "SERVER");
            line.key = "drain";
            line.value = "true";
        }
    }

    // Returns the usage lines of the commands named in the arguments, because docopt does not report what is missing.
    std::string usageHint(std::vector<std::string> const& arguments)
    {
        std::string lines;
        std::string_view rest = usageText.substr(0, usageText.find("\nArguments:"));
        while (!rest.empty()) {
            auto const line = rest.substr(0, rest.find('\n'));
            rest.remove_prefix(std::min(rest.size(), line.size() + 1));
            size_t const start = line.find("... ");
            auto const command = start == std::string_view::npos ? std::string_view() : line.substr(start + 4);
            auto const matchesCommand
                = [&](std::string const& word) { return command.starts_with(word + " ") || command == word; };
            if (std::any_of(arguments.begin(), arguments.end(), matchesCommand))
                lines.append("\n  bilberryyard ").append(command);
        }
        return lines.empty() ? "; see bilberryyard --help" : "; expected" + lines;
    }

    absl::StatusOr<command_line> validateArguments(
        arguments_map const& values, command_line::environment const& environment)
    {
        command_line line;
        line.requestedOperation = operationOf(values);
        copyPlainArguments(values, line);
        if (auto status = parseOutput(values, line); !status.ok())
            return status;
        if (auto status = parseEndpoints(values, environment, line); !status.ok())
            return status;
        if (!isChange(line.requestedOperation))
            return line;
        if (auto status = parseChange(values, environment, line); !status.ok())
            return status;
        return line;
    }

} // namespace

std::string_view command_line::usage() { return usageText; }

absl::StatusOr<command_line> command_line::parse(
    std::vector<std::string> const& arguments, environment const& environment)
{
    command_line line;
    try {
        return validateArguments(docopt::docopt_parse(std::string(usageText), arguments), environment);
    } catch (docopt::DocoptExitHelp const&) {
        return line;
    } catch (docopt::DocoptExitVersion const&) {
        line.requestedOperation = operation::ShowVersion;
        return line;
    } catch (docopt::DocoptArgumentError const& error) {
        return invalidArgument(std::string(error.what()) + usageHint(arguments));
    }
}

} // namespace bilberryyard
