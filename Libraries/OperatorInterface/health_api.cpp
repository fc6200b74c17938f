#include <OperatorInterface/health_api.h>

#include <Base/error_kind.h>
#include <utility>

namespace bilberryyard {

health_api::health_api(std::function<readiness()> currentReadiness, std::function<std::string()> exposition)
    : m_currentReadiness(std::move(currentReadiness))
    , m_exposition(std::move(exposition))
{
}

void health_api::registerAt(http_router& router) const
{
    router.add("/healthz", [](http_request const& request) {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        return makeDocumentResponse(request, 200, document::map({ { "alive", document::boolean(true) } }));
    });
    router.add("/readyz", [this](http_request const& request) { return ready(request); });
    router.add("/metrics", [this](http_request const& request) {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        return http_response { 200, "text/plain; version=0.0.4", {}, m_exposition() };
    });
}

http_response health_api::ready(http_request const& request) const
{
    if (request.method != "GET")
        return makeMethodResponse(request, "GET");
    switch (m_currentReadiness()) {
    case readiness::Ready:
        return makeDocumentResponse(request, 200, document::map({ { "ready", document::boolean(true) } }));
    case readiness::Starting:
        return makeErrorResponse(request, makeError(error_kind::Unavailable, "the host is starting"));
    case readiness::Stopping:
        break;
    }
    return makeErrorResponse(request, makeError(error_kind::Unavailable, "the host is shutting down"));
}

} // namespace bilberryyard
