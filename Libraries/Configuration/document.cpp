#include <Configuration/document.h>

#include <algorithm>
#include <utility>

namespace bilberryyard {

document document::text(std::string_view value)
{
    document result;
    result.m_kind = document_kind::Text;
    result.m_scalar = value;
    return result;
}

document document::integer(int64_t value)
{
    document result;
    result.m_kind = document_kind::Literal;
    result.m_scalar = std::to_string(value);
    return result;
}

document document::unsignedInteger(uint64_t value)
{
    document result;
    result.m_kind = document_kind::Literal;
    result.m_scalar = std::to_string(value);
    return result;
}

document document::number(std::string_view value)
{
    document result;
    result.m_kind = document_kind::Literal;
    result.m_scalar = value;
    return result;
}

document document::boolean(bool value)
{
    document result;
    result.m_kind = document_kind::Literal;
    result.m_scalar = value ? "true" : "false";
    return result;
}

document document::list(std::vector<document> items)
{
    document result;
    result.m_kind = document_kind::List;
    result.m_items = std::move(items);
    return result;
}

document document::map(std::vector<document_member> members)
{
    document result;
    result.m_kind = document_kind::Map;
    result.m_members = std::move(members);
    return result;
}

document document::atLine(int line) const
{
    document result = *this;
    result.m_line = line;
    return result;
}

document const* document::find(std::string_view key) const
{
    auto const member
        = std::find_if(m_members.begin(), m_members.end(), [&](auto const& entry) { return entry.key == key; });
    return member == m_members.end() ? nullptr : &member->value;
}

bool document::operator==(document const& other) const
{
    return m_kind == other.m_kind && m_scalar == other.m_scalar && m_items == other.m_items
        && m_members == other.m_members;
}

namespace {

    bool isDigit(char character) { return character >= '0' && character <= '9'; }

    size_t skipDigits(std::string_view text, size_t position)
    {
        while (position < text.size() && isDigit(text[position]))
            ++position;
        return position;
    }

} // namespace

bool isJsonLiteral(std::string_view scalar)
{
    if (scalar == "true" || scalar == "false")
        return true;
    size_t position = scalar.starts_with('-') ? 1 : 0;
    size_t const integerEnd = skipDigits(scalar, position);
    if (integerEnd == position || (scalar[position] == '0' && integerEnd > position + 1))
        return false;
    position = integerEnd;
    if (position < scalar.size() && scalar[position] == '.') {
        size_t const fractionEnd = skipDigits(scalar, position + 1);
        if (fractionEnd == position + 1)
            return false;
        position = fractionEnd;
    }
    return position == scalar.size();
}

} // namespace bilberryyard
