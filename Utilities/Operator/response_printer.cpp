#include "response_printer.h"

#include <Base/error_kind.h>
#include <Configuration/document_writer.h>
#include <algorithm>
#include <string>
#include <vector>

namespace bilberryyard {

namespace {

    std::string textOf(document const& map, std::string_view key)
    {
        auto const* value = map.find(key);
        if (!value || value->kind() == document_kind::Null)
            return "-";
        if (value->kind() != document_kind::List)
            return value->scalar();
        std::string text;
        for (auto const& item : value->items())
            text += (text.empty() ? "" : ",") + item.scalar();
        return text;
    }

    std::vector<document> itemsOf(document const& map, std::string_view key)
    {
        auto const* list = map.find(key);
        return list ? list->items() : std::vector<document>();
    }

    // Pads each column to its longest cell plus two spaces.
    void printTable(std::ostream& output, std::vector<document> const& rows, std::vector<std::string> const& columns)
    {
        std::vector<size_t> widths;
        for (auto const& column : columns) {
            size_t width = column.size();
            for (auto const& row : rows)
                width = std::max(width, textOf(row, column).size());
            widths.push_back(width + 2);
        }
        auto const printRow = [&](auto const& cellOf) {
            std::string text;
            for (size_t index = 0; index < columns.size(); ++index) {
                auto cell = cellOf(columns[index]);
                cell.resize(std::max(cell.size(), widths[index]), ' ');
                text += cell;
            }
            text.erase(text.find_last_not_of(' ') + 1);
            output << text << '\n';
        };
        printRow([](std::string const& column) { return column; });
        for (auto const& row : rows)
            printRow([&](std::string const& column) { return textOf(row, column); });
    }

    void printDifference(std::ostream& output, document const& body, std::string const& indent)
    {
        for (auto const& line : itemsOf(body, "difference"))
            output << indent << line.scalar() << '\n';
    }

    void printConfiguration(std::ostream& output, document const& body)
    {
        output << "# revision " << textOf(body, "revision") << ", "
               << (textOf(body, "current") == "true" ? "current" : "possibly not the latest") << ", confirmed "
               << textOf(body, "age") << " ago\n";
        for (auto const* key : { "configuration", "settings" }) {
            if (auto const* value = body.find(key))
                output << writeYaml(*value);
        }
    }

    void printChange(std::ostream& output, command_line const& line, document const& body)
    {
        auto const message = textOf(body, "message");
        output << (line.change.dryRun ? "would be accepted" : "accepted") << ": revision " << textOf(body, "revision")
               << (message.empty() || message == "-" ? "" : " (" + message + ")") << ", request id "
               << textOf(body, "request_id") << '\n';
        printDifference(output, body, "  ");
    }

    void printAudit(std::ostream& output, document const& body)
    {
        for (auto const& entry : itemsOf(body, "entries")) {
            output << '#' << textOf(entry, "sequence") << ' ' << textOf(entry, "time") << ' ' << textOf(entry, "author")
                   << ": " << textOf(entry, "reason") << "\n  " << textOf(entry, "result") << ", base "
                   << textOf(entry, "base_revision") << ", revision " << textOf(entry, "revision") << ", request id "
                   << textOf(entry, "request_id") << '\n';
            auto const message = textOf(entry, "message");
            if (!message.empty())
                output << "  " << message << '\n';
            printDifference(output, entry, "  ");
        }
    }

} // namespace

response_printer::response_printer(std::ostream& output, std::ostream& errors)
    : m_output(output)
    , m_errors(errors)
{
}

void response_printer::print(command_line const& line, session_result const& result) const
{
    if (line.requestedOperation == operation::Metrics) {
        m_output << result.text;
        return;
    }
    if (line.output == output_format::Yaml) {
        m_output << writeYaml(result.body);
        return;
    }
    switch (line.requestedOperation) {
    case operation::Status:
        printTable(m_output, itemsOf(result.body, "hosts"),
            { "host_id", "zone", "roles", "condition", "active_revision", "age" });
        return;
    case operation::MemberList:
    case operation::MemberAdd:
    case operation::MemberRemove:
        printTable(m_output, itemsOf(result.body, "members"), { "host_id", "peer", "distribution" });
        return;
    case operation::Get:
        printConfiguration(m_output, result.body);
        return;
    case operation::Audit:
        printAudit(m_output, result.body);
        return;
    case operation::Explain:
        m_output << writeYaml(result.body);
        return;
    default:
        printChange(m_output, line, result.body);
    }
}

void response_printer::print(std::string const& text) const { m_output << text; }

void response_printer::printError(command_line const& line, session_result const& result) const
{
    auto const& presentation = presentationFor(errorKindOf(result.status));
    if (line.output == output_format::Yaml) {
        std::vector<document_member> members {
            { "error", document::text(presentation.name) },
            { "message", document::text(messageOf(result.status)) },
        };
        for (auto const& member : result.body.members()) {
            if (member.key != "error" && member.key != "message")
                members.push_back(member);
        }
        m_errors << writeYaml(document::map(std::move(members)));
        return;
    }
    m_errors << "bilberryyard: " << presentation.name << ": " << messageOf(result.status) << '\n';
    printDifference(m_errors, result.body, "  ");
}

} // namespace bilberryyard
