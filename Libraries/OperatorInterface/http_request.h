#pragma once

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace bilberryyard {

/// An HTTP request, parsed for handlers.
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

    /// @param name In lower case.
    /// @return The value of the header field; empty when the request does not have it.
    std::string header(std::string const& name) const;
};

/// @return The text with all but unreserved characters percent-encoded (RFC 3986 section 2.1).
std::string percentEncode(std::string_view text);

/// @param text Percent-encoded text; '+' stands for a space.
/// @return The decoded text. Invalid escape sequences are copied unchanged.
std::string percentDecode(std::string_view text);

/// @param text The query component of a URI, without the '?'.
/// @return The decoded parameters; for a repeated name the first value.
std::map<std::string, std::string> parseQuery(std::string_view text);

} // namespace bilberryyard
