#include <OperatorInterface/http_router.h>

#include <Base/error_kind.h>
#include <exception>
#include <utility>

namespace bilberryyard {

void http_router::add(std::string const& prefix, http_handler handler) { m_handlers[prefix] = std::move(handler); }

http_response http_router::handle(http_request const& request) const
{
    http_handler const* best = nullptr;
    size_t bestLength = 0;
    for (auto const& [prefix, handler] : m_handlers) {
        bool const matches = request.path == prefix || request.path.starts_with(prefix + "/");
        if (matches && prefix.size() >= bestLength) {
            best = &handler;
            bestLength = prefix.size();
        }
    }
    if (!best)
        return makeErrorResponse(
            request, makeError(error_kind::NotFound, "there is no path " + request.path.substr(0, 200)));
    // The caller is CivetWeb's C code, through which an exception must not propagate.
    try {
        return (*best)(request);
    } catch (std::exception const& exception) {
        return makeErrorResponse(request, makeError(error_kind::Internal, exception.what()));
    }
}

} // namespace bilberryyard
