#include <Configuration/located_document.h>

#include <Base/error_kind.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace bilberryyard {

located_document::located_document(std::string_view file, document const& value)
    : located_document(file, value, {}, std::max(1, value.line()))
{
}

located_document::located_document(std::string_view file, document const& value, std::string path, int line)
    : m_file(file)
    , m_value(&value)
    , m_path(std::move(path))
    , m_line(line)
{
}

located_document located_document::member(document_member const& entry) const
{
    return { m_file, entry.value, m_path.empty() ? entry.key : m_path + "." + entry.key, entry.line };
}

located_document located_document::item(size_t index) const
{
    auto const& element = m_value->items()[index];
    return { m_file, element, m_path + "[" + std::to_string(index) + "]", element.line() };
}

absl::Status located_document::inputError(std::string_view message) const
{
    std::string text = std::string(m_file) + ":" + std::to_string(m_line) + ": ";
    if (!m_path.empty())
        text += m_path + ": ";
    return makeError(error_kind::InvalidArgument, text + std::string(message));
}

absl::Status located_document::expectMap() const
{
    if (m_value->kind() == document_kind::Map || m_value->kind() == document_kind::Null)
        return absl::OkStatus();
    return inputError("expected keys with values");
}

absl::Status located_document::expectList() const
{
    if (m_value->kind() == document_kind::List || m_value->kind() == document_kind::Null)
        return absl::OkStatus();
    return inputError("expected a list");
}

absl::Status located_document::expectKeys(std::span<std::string_view const> known) const
{
    if (auto status = expectMap(); !status.ok())
        return status;
    for (auto const& entry : m_value->members()) {
        if (std::find(known.begin(), known.end(), entry.key) == known.end())
            return member(entry).inputError("unknown key" + nameHint(entry.key, known));
    }
    return absl::OkStatus();
}

absl::StatusOr<located_document> located_document::required(std::string_view key) const
{
    for (auto const& entry : m_value->members()) {
        if (entry.key == key)
            return member(entry);
    }
    return inputError("the key '" + std::string(key) + "' is missing");
}

absl::StatusOr<std::string> located_document::asText() const
{
    if (!m_value->isScalar())
        return inputError("expected a value");
    return m_value->scalar();
}

absl::StatusOr<uint64_t> located_document::asUnsigned(uint64_t minimum, uint64_t maximum) const
{
    auto const text = asText();
    if (!text.ok())
        return text.status();
    uint64_t value = 0;
    auto const [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value < minimum || value > maximum)
        return inputError("'" + text->substr(0, 64) + "' is not allowed; expected a whole number from "
            + std::to_string(minimum) + " to " + std::to_string(maximum));
    return value;
}

absl::StatusOr<bool> located_document::asBoolean() const
{
    auto const text = asText();
    if (!text.ok())
        return text.status();
    if (*text != "true" && *text != "false")
        return inputError("'" + text->substr(0, 64) + "' is not allowed; expected true or false");
    return *text == "true";
}

located_document located_document::deepest(std::string_view path) const
{
    size_t const end = path.find_first_of(".[", 1);
    std::string_view const first = path.substr(0, end);
    std::string_view rest = end == std::string_view::npos ? std::string_view() : path.substr(end);
    if (rest.starts_with('.'))
        rest.remove_prefix(1);
    std::optional<located_document> next;
    if (first.starts_with('[')) {
        size_t index = 0;
        std::from_chars(first.data() + 1, first.data() + first.size(), index);
        if (index < m_value->items().size())
            next = item(index);
    } else {
        for (auto const& entry : m_value->members()) {
            if (entry.key == first)
                next = member(entry);
        }
    }
    if (!next)
        return *this;
    return rest.empty() ? *next : next->deepest(rest);
}

} // namespace bilberryyard
