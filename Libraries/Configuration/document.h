#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

enum class document_kind {
    Null,
    /// A quoted or textual scalar.
    Text,
    /// A plain scalar that JSON writes without quotes: an integer, a decimal number, true or false.
    Literal,
    List,
    Map,
};

struct document_member;

/// An immutable tree of YAML or JSON values. Each value stores the source line that it was read from.
class document {
public:
    document() = default;

    /// @return A text scalar; written with quotes where needed.
    static document text(std::string_view value);
    static document integer(int64_t value);
    static document unsignedInteger(uint64_t value);
    /// @param value Text of a JSON number (RFC 8259 section 6) without exponent; not checked.
    static document number(std::string_view value);
    static document boolean(bool value);
    static document list(std::vector<document> items);
    static document map(std::vector<document_member> members);
    /// @param line Line in the source, counted from 1.
    /// @return A copy of this value with that line.
    document atLine(int line) const;

    document_kind kind() const { return m_kind; }
    bool isScalar() const { return m_kind == document_kind::Text || m_kind == document_kind::Literal; }
    /// @return The text of a scalar; empty for other kinds.
    std::string const& scalar() const { return m_scalar; }
    /// @return The elements of a list; empty for other kinds.
    std::vector<document> const& items() const { return m_items; }
    /// @return The members of a map; empty for other kinds.
    std::vector<document_member> const& members() const { return m_members; }
    /// @return The value of the map member with this key; null when this is not a map or the key is missing.
    document const* find(std::string_view key) const;
    /// @return Line in the source, counted from 1; 0 when the value was not parsed from text.
    int line() const { return m_line; }

    /// Compares the values; source lines are ignored.
    bool operator==(document const& other) const;

private:
    document_kind m_kind = document_kind::Null;
    std::string m_scalar;
    std::vector<document> m_items;
    std::vector<document_member> m_members;
    int m_line = 0;
};

/// One entry of a map.
struct document_member {
    std::string key;
    document value;
    /// Line of the key, counted from 1; 0 when not parsed from text.
    int line = 0;
    bool operator==(document_member const& other) const { return key == other.key && value == other.value; }
};

/// @return Whether JSON writes the scalar without quotes: true for JSON numbers (RFC 8259 section 6) without exponent,
///     "true" and "false".
bool isJsonLiteral(std::string_view scalar);

} // namespace bilberryyard
