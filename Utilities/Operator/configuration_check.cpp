#include "configuration_check.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/document_parser.h>
#include <Configuration/document_writer.h>
#include <Configuration/located_document.h>

namespace bilberryyard {

namespace {

    constexpr int warningExitCode = 1;

    document listOf(std::vector<std::string> const& lines)
    {
        std::vector<document> items;
        items.reserve(lines.size());
        for (auto const& line : lines)
            items.push_back(document::text(line));
        return document::list(std::move(items));
    }

} // namespace

int configuration_report::exitCode() const
{
    if (!error.empty())
        return presentationFor(error_kind::InvalidArgument).exitCode;
    return warnings.empty() ? 0 : warningExitCode;
}

std::string configuration_report::toText() const
{
    if (!error.empty())
        return "error: " + error + '\n';
    std::string text;
    for (auto const& warning : warnings)
        text += "warning: " + warning + '\n';
    if (difference) {
        for (auto const& line : difference->lines())
            text += line + '\n';
        if (difference->isEmpty())
            text += "no difference from the configuration in force\n";
    }
    return text + (warnings.empty() ? "valid\n" : "valid, with warnings\n");
}

std::string configuration_report::toJson() const
{
    std::vector<document_member> members {
        { "error", error.empty() ? document() : document::text(error) },
        { "warnings", listOf(warnings) },
    };
    if (difference)
        members.push_back({ "difference", listOf(difference->lines()) });
    return writeJson(document::map(std::move(members))) + '\n';
}

absl::StatusOr<configuration_report> checkConfiguration(
    std::string const& file, std::optional<configuration> const& inForce)
{
    auto const text = readTextFile(file);
    if (!text.ok())
        return text.status();
    configuration_report report;
    auto const value = configuration_reader(file).read(*text);
    if (!value.ok()) {
        report.error = messageOf(value.status());
        return report;
    }
    // Parsed again for the lines of the warnings; the reader has accepted the text.
    auto const tree = parseDocument(*text, file);
    if (!tree.ok())
        return tree.status();
    located_document const root(file, *tree);
    for (auto const& warning : reviewConfiguration(*value)) {
        auto const node = root.deepest(warning.path);
        auto const prefix = node.path() == warning.path ? std::string() : warning.path + ": ";
        report.warnings.push_back(messageOf(node.inputError(prefix + warning.message)));
    }
    if (inForce)
        report.difference.emplace(*inForce, *value);
    return report;
}

} // namespace bilberryyard
