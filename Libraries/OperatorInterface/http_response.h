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

/// A response as handlers make it.
struct http_response {
    int status = 200;
    std::string contentType = "application/json";
    /// Further header fields.
    std::map<std::string, std::string> headers;
    std::string body;
    auto operator<=>(http_response const&) const = default;
};

/// Answers a request. Called from several threads at a time.
using http_handler = std::function<http_response(http_request const&)>;

/// Makes a response in the form that the request prefers.
/// @param request The request; an Accept field that contains "yaml" chooses YAML, anything else JSON.
/// @param status HTTP status code.
/// @param body The body.
/// @return The response.
http_response makeDocumentResponse(http_request const& request, int status, document const& body);

/// Makes the response of an error: {error: name, message, ...}.
/// @param request The request.
/// @param status An error status; its kind gives the HTTP status.
/// @param details Further members of the body.
/// @return The response.
http_response makeErrorResponse(
    http_request const& request, absl::Status const& status, std::vector<document_member> details = {});

/// Makes the response to a method that a path does not have.
/// @param request The request.
/// @param allowed The methods it has, for the header Allow (RFC 9110 section 10.2.1).
/// @return Status 405.
http_response makeMethodResponse(http_request const& request, std::string_view allowed);

} // namespace bilberryyard
