#pragma once

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A request as handlers see it.
struct http_request {
    /// "GET", "POST" and so on.
    std::string method;
    /// Path without the query, decoded.
    std::string path;
    /// Parameters of the query, decoded.
    std::map<std::string, std::string> query;
    /// Header fields by name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    auto operator<=>(http_request const&) const = default;

    /// @param name Name of a header field in lower case.
    /// @return Its value; empty when the request has none.
    std::string header(std::string const& name) const;
};

/// @param text Any text.
/// @return The text with all but unreserved characters percent-encoded (RFC 3986 section 2.1).
std::string percentEncode(std::string_view text);

/// @param text Percent-encoded text; '+' stands for a space.
/// @return The decoded text. Sequences that are not valid stay as they are.
std::string percentDecode(std::string_view text);

/// @param text The part of a URI after '?'.
/// @return Its parameters, decoded; the first of a repeated name counts.
std::map<std::string, std::string> parseQuery(std::string_view text);

} // namespace bilberryyard
