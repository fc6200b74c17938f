#include <OperatorInterface/http_router.h>

#include <Base/error_kind.h>
#include <exception>
#include <utility>

namespace bilberryyard {

void http_router::add(std::string const& prefix, http_handler handler, size_t maximumBodySize)
{
    m_routes[prefix] = { std::move(handler), maximumBodySize };
}

http_router::route const* http_router::find(std::string const& path) const
{
    route const* best = nullptr;
    size_t bestLength = 0;
    for (auto const& [prefix, candidate] : m_routes) {
        bool const matches = path == prefix || path.starts_with(prefix + "/");
        if (matches && prefix.size() >= bestLength) {
            best = &candidate;
            bestLength = prefix.size();
        }
    }
    return best;
}

size_t http_router::maximumBodySize(std::string const& path) const
{
    auto const* const best = find(path);
    return best ? best->maximumBodySize : std::numeric_limits<size_t>::max();
}

http_response http_router::handle(http_request const& request) const
{
    auto const* const best = find(request.path);
    if (!best)
        return makeErrorResponse(
            request, makeError(error_kind::NotFound, "there is no path " + request.path.substr(0, 200)));
    // The caller is CivetWeb's C code, through which an exception must not propagate.
    try {
        return best->handler(request);
    } catch (std::exception const& exception) {
        return makeErrorResponse(request, makeError(error_kind::Internal, exception.what()));
    }
}

} // namespace bilberryyard
