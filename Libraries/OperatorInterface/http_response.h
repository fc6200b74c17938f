#pragma once

#include <Base/error_kind.h>
#include <Configuration/document.h>
#include <OperatorInterface/http_request.h>
#include <compare>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// An HTTP response from a handler.
struct http_response {
    int status = 200;
    std::string contentType = "application/json";
    /// Header fields besides those that the server adds, such as Content-Length.
    std::map<std::string, std::string> headers;
    std::string body;
    auto operator<=>(http_response const&) const = default;
};

/// Handles a request. Called from several threads concurrently.
using http_handler = std::function<http_response(http_request const&)>;

/// Makes a response in the format that the request prefers.
/// @param request An Accept header that contains "yaml" selects YAML, anything else JSON.
/// @param status HTTP status code.
http_response makeDocumentResponse(http_request const& request, int status, document const& body);

/// Makes an error response with the body {error: name, message, ...}.
/// @param status An error; its kind determines the HTTP status code.
/// @param details Further members of the body.
http_response makeErrorResponse(
    http_request const& request, absl::Status const& status, std::vector<document_member> details = {});

/// Makes the response, status 405, to a request whose method the path does not support.
/// @param allowed The supported methods, for the header Allow (RFC 9110 section 10.2.1).
http_response makeMethodResponse(http_request const& request, std::string_view allowed);

} // namespace bilberryyard
