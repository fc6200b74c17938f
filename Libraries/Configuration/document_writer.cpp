#include <Configuration/document_writer.h>

#include <algorithm>
#include <array>

namespace bilberryyard {

namespace {

    std::string quoted(std::string_view text)
    {
        static constexpr std::string_view hexDigits = "0123456789abcdef";
        std::string result = "\"";
        for (char const character : text) {
            auto const byte = static_cast<uint8_t>(character);
            if (character == '"' || character == '\\') {
                result += '\\';
                result += character;
            } else if (character == '\n') {
                result += "\\n";
            } else if (byte < 0x20 || byte == 0x7f) {
                result += "\\u00";
                result += hexDigits[byte >> 4];
                result += hexDigits[byte & 0xf];
            } else {
                result += character;
            }
        }
        return result + '"';
    }

    bool isPlainCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || std::string_view("_./-").find(character) != std::string::npos;
    }

    // Leaves out the quotes only where every YAML 1.1 and 1.2 parser reads the text as a string.
    std::string yamlText(std::string_view text)
    {
        static constexpr std::array<std::string_view, 14> ambiguous { "yes", "no", "on", "off", "null", "Null", "NULL",
            "true", "True", "TRUE", "false", "False", "FALSE", "~" };
        bool const plain = !text.empty() && std::all_of(text.begin(), text.end(), isPlainCharacter)
            && text.front() != '-' && text.front() != '.' && !isJsonLiteral(text)
            && std::find(ambiguous.begin(), ambiguous.end(), text) == ambiguous.end();
        return plain ? std::string(text) : quoted(text);
    }

    std::string yamlScalar(document const& value)
    {
        switch (value.kind()) {
        case document_kind::Null:
            return "null";
        case document_kind::Text:
            return yamlText(value.scalar());
        case document_kind::Literal:
            return value.scalar();
        case document_kind::List:
            return "[]";
        case document_kind::Map:
            return "{}";
        }
        return {};
    }

    bool isBlock(document const& value) { return !value.items().empty() || !value.members().empty(); }

    void writeBlock(document const& value, size_t indent, std::string& out);

    void writeAfterKey(document const& value, size_t indent, std::string& out)
    {
        if (!isBlock(value)) {
            out += ' ' + yamlScalar(value) + '\n';
            return;
        }
        out += '\n';
        writeBlock(value, indent + 2, out);
    }

    // The first line of a list element follows the dash on the same line, so its indentation is removed.
    void writeElement(document const& value, size_t indent, std::string& out)
    {
        out.append(indent, ' ');
        out += '-';
        if (!isBlock(value) || !value.items().empty()) {
            writeAfterKey(value, indent, out);
            return;
        }
        std::string block;
        writeBlock(value, indent + 2, block);
        out += ' ' + block.substr(indent + 2);
    }

    void writeBlock(document const& value, size_t indent, std::string& out)
    {
        for (auto const& item : value.items())
            writeElement(item, indent, out);
        for (auto const& member : value.members()) {
            out.append(indent, ' ');
            out += yamlText(member.key) + ':';
            writeAfterKey(member.value, indent, out);
        }
    }

    void appendJson(document const& value, std::string& out)
    {
        char separator = 0;
        auto const separate = [&] {
            if (separator)
                out += separator;
            separator = ',';
        };
        switch (value.kind()) {
        case document_kind::Null:
            out += "null";
            return;
        case document_kind::Text:
            out += quoted(value.scalar());
            return;
        case document_kind::Literal:
            out += value.scalar();
            return;
        case document_kind::List:
            out += '[';
            for (auto const& item : value.items()) {
                separate();
                appendJson(item, out);
            }
            out += ']';
            return;
        case document_kind::Map:
            out += '{';
            for (auto const& member : value.members()) {
                separate();
                out += quoted(member.key) + ':';
                appendJson(member.value, out);
            }
            out += '}';
            return;
        }
    }

} // namespace

std::string writeYaml(document const& value)
{
    if (!isBlock(value))
        return yamlScalar(value) + '\n';
    std::string out;
    writeBlock(value, 0, out);
    return out;
}

std::string writeJson(document const& value)
{
    std::string out;
    appendJson(value, out);
    return out;
}

} // namespace bilberryyard
