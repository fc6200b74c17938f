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

    // Deeper than any format of this project needs; keeps recursion over hostile input short.
    constexpr size_t maximumDepth = 32;
    constexpr std::streamsize maximumFileSize = std::streamsize { 16 } * 1024 * 1024;

    struct parse_fault {
        int line;
        std::string message;
    };

    /// Builds the tree from the events of yaml-cpp. Stops the parser through parse_fault.
    class tree_builder : public YAML::EventHandler {
    public:
        void OnDocumentStart(YAML::Mark const&) override { }
        void OnDocumentEnd() override { }
        void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
        {
            refuseAnchor(mark, anchor);
            place(document().atLine(lineOf(mark)), mark);
        }
        void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override
        {
            throw parse_fault { lineOf(mark), "aliases are not allowed" };
        }
        void OnScalar(
            YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, std::string const& value) override
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            bool const plain = tag == "?";
            auto const scalar = plain && isJsonLiteral(value) ? literal(value) : document::text(value);
            place(scalar.atLine(lineOf(mark)), mark);
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
                throw parse_fault { lineOf(mark), "anchors are not allowed" };
        }

        static void refuseTag(YAML::Mark const& mark, std::string const& tag)
        {
            if (!tag.empty() && tag != "?" && tag != "!")
                throw parse_fault { lineOf(mark), "tags are not allowed" };
        }

        void open(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, document_kind kind)
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            if (m_levels.size() == maximumDepth)
                throw parse_fault { lineOf(mark), "more than " + std::to_string(maximumDepth) + " levels" };
            if (!m_levels.empty() && m_levels.back().kind == document_kind::Map && !m_levels.back().pendingKey)
                throw parse_fault { lineOf(mark), "a key must be a scalar" };
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

        void place(document const& value, YAML::Mark const& mark)
        {
            if (m_levels.empty() || m_levels.back().kind == document_kind::List || m_levels.back().pendingKey) {
                add(value);
                return;
            }
            auto& level = m_levels.back();
            if (!value.isScalar())
                throw parse_fault { lineOf(mark), "a key must be a scalar" };
            auto const same = [&](auto const& member) { return member.key == value.scalar(); };
            if (std::any_of(level.members.begin(), level.members.end(), same))
                throw parse_fault { lineOf(mark), value.scalar() + ": the key is given twice" };
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

    absl::Status faultAt(std::string_view file, int line, std::string_view message)
    {
        std::ostringstream text;
        text << file << ":" << line << ": " << message;
        return makeError(error_kind::InvalidArgument, text.str());
    }

    // Length of the UTF-8 sequence at the start of the text by RFC 3629 section 4; 0 when it is not valid.
    size_t utf8SequenceLength(std::string_view text)
    {
        auto const byte = [&](size_t index) { return static_cast<uint8_t>(text[index]); };
        auto const continues = [&](size_t index, uint8_t lowest = 0x80, uint8_t highest = 0xbf) {
            return index < text.size() && byte(index) >= lowest && byte(index) <= highest;
        };
        uint8_t const first = byte(0);
        if (first < 0x80)
            return 1;
        if (first >= 0xc2 && first <= 0xdf)
            return continues(1) ? 2 : 0;
        if (first >= 0xe0 && first <= 0xef) {
            uint8_t const lowest = first == 0xe0 ? 0xa0 : 0x80;
            uint8_t const highest = first == 0xed ? 0x9f : 0xbf;
            return continues(1, lowest, highest) && continues(2) ? 3 : 0;
        }
        if (first >= 0xf0 && first <= 0xf4) {
            uint8_t const lowest = first == 0xf0 ? 0x90 : 0x80;
            uint8_t const highest = first == 0xf4 ? 0x8f : 0xbf;
            return continues(1, lowest, highest) && continues(2) && continues(3) ? 4 : 0;
        }
        return 0;
    }

    // Offset of the first byte that is not clean text, or the size of the text.
    size_t firstUncleanByte(std::string_view text)
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

bool isCleanText(std::string_view text) { return firstUncleanByte(text) == text.size(); }

absl::StatusOr<document> parseDocument(std::string_view text, std::string_view file)
{
    // yaml-cpp takes byte 4 for the end of the text and replaces invalid UTF-8 silently.
    size_t const unclean = firstUncleanByte(text);
    if (unclean != text.size()) {
        auto const line = 1 + std::count(text.begin(), text.begin() + static_cast<ptrdiff_t>(unclean), '\n');
        return faultAt(file, static_cast<int>(line), "invalid UTF-8 or a control character");
    }
    try {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        tree_builder builder;
        parser.HandleNextDocument(builder);
        tree_builder rest;
        if (parser.HandleNextDocument(rest))
            return faultAt(file, 1, "the text holds more than one document");
        return builder.result();
    } catch (parse_fault const& fault) {
        return faultAt(file, fault.line, fault.message);
    } catch (YAML::Exception const& exception) {
        return faultAt(file, exception.mark.line + 1, exception.msg);
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
