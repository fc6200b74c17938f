#pragma once

#include <OperatorInterface/http_response.h>
#include <limits>
#include <map>
#include <string>

namespace bilberryyard {

/// Passes a request to the handler with the longest matching path prefix.
class http_router {
public:
    /// @param prefix "/v1/audit" matches itself and paths that start with "/v1/audit/".
    /// @param handler Replaces any earlier handler of the prefix.
    /// @param maximumBodySize In bytes; a server refuses requests with a larger body before it reads them.
    void add(
        std::string const& prefix, http_handler handler, size_t maximumBodySize = std::numeric_limits<size_t>::max());

    /// @return The largest body of a request with this path in bytes; the maximum for a path without a limit of its
    /// own.
    size_t maximumBodySize(std::string const& path) const;

    /// @return The handler's response; a NotFound response for a path without a handler, an Internal one when the
    ///     handler throws.
    http_response handle(http_request const& request) const;

private:
    struct route {
        http_handler handler;
        size_t maximumBodySize = 0;
    };

    /// @return The route with the longest matching prefix, or nullptr.
    route const* find(std::string const& path) const;

    std::map<std::string, route> m_routes;
};

} // namespace bilberryyard
