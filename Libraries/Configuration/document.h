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

/// A tree of YAML or JSON values that remembers the lines it was read from. Immutable.
class document {
public:
    document() = default;

    /// @param value Any text.
    /// @return A scalar that is written with quotes where needed.
    static document text(std::string_view value);
    /// @param value An integer.
    /// @return A literal scalar.
    static document integer(int64_t value);
    /// @param value An integer.
    /// @return A literal scalar.
    static document unsignedInteger(uint64_t value);
    /// @param value Text of a JSON number (RFC 8259 section 6) without exponent.
    /// @return A literal scalar.
    static document number(std::string_view value);
    /// @param value True or false.
    /// @return A literal scalar.
    static document boolean(bool value);
    /// @param items The elements in order.
    /// @return A list.
    static document list(std::vector<document> items);
    /// @param members Key and value pairs in order.
    /// @return A map.
    static document map(std::vector<document_member> members);
    /// @param line Line in the source, from 1.
    /// @return This value with that line.
    document atLine(int line) const;

    document_kind kind() const { return m_kind; }
    bool isScalar() const { return m_kind == document_kind::Text || m_kind == document_kind::Literal; }
    /// @return The text of a scalar; empty for other kinds.
    std::string const& scalar() const { return m_scalar; }
    /// @return The elements of a list; empty for other kinds.
    std::vector<document> const& items() const { return m_items; }
    /// @return The members of a map; empty for other kinds.
    std::vector<document_member> const& members() const { return m_members; }
    /// @param key Key of a map member.
    /// @return The member's value, or null when this is no map or has no such key.
    document const* find(std::string_view key) const;
    /// @return Line in the source, from 1; 0 when the value was not read from a text.
    int line() const { return m_line; }

    /// @return Whether the values are equal; lines do not count.
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
    /// Line of the key, from 1; 0 when not read from a text.
    int line = 0;
    bool operator==(document_member const& other) const { return key == other.key && value == other.value; }
};

/// Whether a plain scalar is a number or truth value that JSON writes without quotes.
/// @param scalar The scalar's text.
/// @return True for JSON numbers (RFC 8259 section 6), "true" and "false".
bool isJsonLiteral(std::string_view scalar);

} // namespace bilberryyard
