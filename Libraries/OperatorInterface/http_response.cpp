#include <OperatorInterface/http_response.h>

#include <Configuration/document_writer.h>
#include <iterator>
#include <utility>

namespace bilberryyard {

http_response makeDocumentResponse(http_request const& request, int status, document const& body)
{
    bool const asYaml = request.header("accept").find("yaml") != std::string::npos;
    http_response response;
    response.status = status;
    response.contentType = asYaml ? "application/yaml" : "application/json";
    response.body = asYaml ? writeYaml(body) : writeJson(body) + '\n';
    return response;
}

http_response makeErrorResponse(
    http_request const& request, absl::Status const& status, std::vector<document_member> details)
{
    auto const& presentation = presentationFor(errorKindOf(status));
    std::vector<document_member> members {
        { "error", document::text(presentation.name) },
        { "message", document::text(messageOf(status)) },
    };
    members.insert(members.end(), std::make_move_iterator(details.begin()), std::make_move_iterator(details.end()));
    return makeDocumentResponse(request, presentation.httpStatus, document::map(std::move(members)));
}

http_response makeMethodResponse(http_request const& request, std::string_view allowed)
{
    static constexpr int methodNotAllowed = 405;
    auto response = makeErrorResponse(request,
        makeError(error_kind::InvalidArgument,
            request.path + " has no method " + request.method + "; allowed: " + std::string(allowed)));
    response.status = methodNotAllowed;
    response.headers.emplace("Allow", allowed);
    return response;
}

} // namespace bilberryyard
