#include <Configuration/document_parser.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace bilberryyard {

namespace {

    // More levels than any file format of this project uses; bounds the recursion for malicious input.
    constexpr size_t maximumDepth = 32;
    constexpr std::streamsize maximumFileSize = std::streamsize { 16 } * 1024 * 1024;

    struct parse_error {
        int line;
        std::string message;
    };

    /// Builds the document from the parser events of yaml-cpp. Throws parse_error to abort parsing.
    class tree_builder : public YAML::EventHandler {
    public:
        void OnDocumentStart(YAML::Mark const&) override { }
        void OnDocumentEnd() override { }
        void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
        {
            refuseAnchor(mark, anchor);
            addValueOrKey(document().atLine(lineOf(mark)), mark);
        }
        void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override
        {
            throw parse_error { lineOf(mark), "aliases are not allowed" };
        }
        void OnScalar(
            YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, std::string const& value) override
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            bool const plain = tag == "?";
            auto const scalar = plain && isJsonLiteral(value) ? literal(value) : document::text(value);
            addValueOrKey(scalar.atLine(lineOf(mark)), mark);
        }
        void OnSequenceStart(
            YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(mark, tag, anchor, document_kind::List);
        }
        void OnSequenceEnd() override { close(); }
        void OnMapStart(
            YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(mark, tag, anchor, document_kind::Map);
        }
        void OnMapEnd() override { close(); }

        document result() const { return m_root.value_or(document()); }

    private:
        struct open_level {
            document_kind kind;
            int line;
            std::vector<document> items;
            std::vector<document_member> members;
            std::optional<document_member> pendingKey;
        };

        static int lineOf(YAML::Mark const& mark) { return mark.line + 1; }

        static document literal(std::string const& value)
        {
            if (value == "true" || value == "false")
                return document::boolean(value == "true");
            return document::number(value);
        }

        static void refuseAnchor(YAML::Mark const& mark, YAML::anchor_t anchor)
        {
            if (anchor != YAML::NullAnchor)
                throw parse_error { lineOf(mark), "anchors are not allowed" };
        }

        static void refuseTag(YAML::Mark const& mark, std::string const& tag)
        {
            if (!tag.empty() && tag != "?" && tag != "!")
                throw parse_error { lineOf(mark), "tags are not allowed" };
        }

        void open(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, document_kind kind)
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            if (m_levels.size() == maximumDepth)
                throw parse_error { lineOf(mark), "more than " + std::to_string(maximumDepth) + " levels" };
            if (!m_levels.empty() && m_levels.back().kind == document_kind::Map && !m_levels.back().pendingKey)
                throw parse_error { lineOf(mark), "a key must be a scalar" };
            m_levels.push_back({ kind, lineOf(mark), {}, {}, std::nullopt });
        }

        void close()
        {
            auto level = std::move(m_levels.back());
            m_levels.pop_back();
            auto value = level.kind == document_kind::List ? document::list(std::move(level.items))
                                                           : document::map(std::move(level.members));
            add(value.atLine(level.line));
        }

        void addValueOrKey(document const& value, YAML::Mark const& mark)
        {
            if (m_levels.empty() || m_levels.back().kind == document_kind::List || m_levels.back().pendingKey) {
                add(value);
                return;
            }
            auto& level = m_levels.back();
            if (!value.isScalar())
                throw parse_error { lineOf(mark), "a key must be a scalar" };
            auto const same = [&](auto const& member) { return member.key == value.scalar(); };
            if (std::any_of(level.members.begin(), level.members.end(), same))
                throw parse_error { lineOf(mark), value.scalar() + ": the key is given twice" };
            level.pendingKey = document_member { value.scalar(), {}, lineOf(mark) };
        }

        void add(document value)
        {
            if (m_levels.empty()) {
                m_root = std::move(value);
                return;
            }
            auto& level = m_levels.back();
            if (level.kind == document_kind::List) {
                level.items.push_back(std::move(value));
                return;
            }
            level.pendingKey->value = std::move(value);
            level.members.push_back(*std::exchange(level.pendingKey, std::nullopt));
        }

        std::vector<open_level> m_levels;
        std::optional<document> m_root;
    };

    absl::Status errorAt(std::string_view file, int line, std::string_view message)
    {
        std::ostringstream text;
        text << file << ":" << line << ": " << message;
        return makeError(error_kind::InvalidArgument, text.str());
    }

    // Length of the UTF-8 sequence at the start of the text (RFC 3629 section 4); 0 when it is invalid.
    size_t utf8SequenceLength(std::string_view text)
    {
        auto const byte = [&](size_t index) { return static_cast<uint8_t>(text[index]); };
        auto const isContinuation = [&](size_t index, uint8_t lowest = 0x80, uint8_t highest = 0xbf) {
            return index < text.size() && byte(index) >= lowest && byte(index) <= highest;
        };
        uint8_t const first = byte(0);
        if (first < 0x80)
            return 1;
        if (first >= 0xc2 && first <= 0xdf)
            return isContinuation(1) ? 2 : 0;
        if (first >= 0xe0 && first <= 0xef) {
            uint8_t const lowest = first == 0xe0 ? 0xa0 : 0x80;
            uint8_t const highest = first == 0xed ? 0x9f : 0xbf;
            return isContinuation(1, lowest, highest) && isContinuation(2) ? 3 : 0;
        }
        if (first >= 0xf0 && first <= 0xf4) {
            uint8_t const lowest = first == 0xf0 ? 0x90 : 0x80;
            uint8_t const highest = first == 0xf4 ? 0x8f : 0xbf;
            return isContinuation(1, lowest, highest) && isContinuation(2) && isContinuation(3) ? 4 : 0;
        }
        return 0;
    }

    // Offset of the first byte of an invalid UTF-8 sequence or a control character; the size of the text when valid.
    size_t firstInvalidByte(std::string_view text)
    {
        size_t position = 0;
        while (position < text.size()) {
            auto const first = static_cast<uint8_t>(text[position]);
            bool const control = (first < 0x20 && first != '\t' && first != '\n' && first != '\r') || first == 0x7f;
            size_t const length = control ? 0 : utf8SequenceLength(text.substr(position));
            if (length == 0)
                return position;
            position += length;
        }
        return text.size();
    }

} // namespace

bool isValidText(std::string_view text) { return firstInvalidByte(text) == text.size(); }

absl::StatusOr<document> parseDocument(std::string_view text, std::string_view file)
{
    // yaml-cpp treats the byte 0x04 as the end of the text and silently replaces invalid UTF-8.
    size_t const invalidOffset = firstInvalidByte(text);
    if (invalidOffset != text.size()) {
        auto const line = 1 + std::count(text.begin(), text.begin() + static_cast<ptrdiff_t>(invalidOffset), '\n');
        return errorAt(file, static_cast<int>(line), "invalid UTF-8 or a control character");
    }
    try {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        tree_builder builder;
        parser.HandleNextDocument(builder);
        tree_builder rest;
        if (parser.HandleNextDocument(rest))
            return errorAt(file, 1, "the text contains more than one document");
        return builder.result();
    } catch (parse_error const& error) {
        return errorAt(file, error.line, error.message);
    } catch (YAML::Exception const& exception) {
        return errorAt(file, exception.mark.line + 1, exception.msg);
    }
}

absl::StatusOr<std::string> readTextFile(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(error_kind::NotFound, path + ": the file cannot be opened");
    std::string text(maximumFileSize + 1, '\0');
    file.read(text.data(), maximumFileSize + 1);
    if (file.bad())
        return makeError(error_kind::NotFound, path + ": the file cannot be read");
    if (file.gcount() > maximumFileSize)
        return makeError(error_kind::ResourceExhausted, path + ": the file is larger than 16 MiB");
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

absl::StatusOr<document> parseDocumentFile(std::string const& path)
{
    auto const text = readTextFile(path);
    if (!text.ok())
        return text.status();
    return parseDocument(*text, path);
}

} // namespace bilberryyard
