#pragma once

#include <OperatorInterface/http_response.h>
#include <map>
#include <string>

namespace bilberryyard {

/// Passes a request to the handler with the longest matching path prefix.
class http_router {
public:
    /// @param prefix "/v1/audit" matches itself and paths that start with "/v1/audit/".
    /// @param handler Replaces any earlier handler of the prefix.
    void add(std::string const& prefix, http_handler handler);

    /// @return The handler's response; a NotFound response for a path without a handler, an Internal one when the
    ///     handler throws.
    http_response handle(http_request const& request) const;

private:
    std::map<std::string, http_handler> m_handlers;
};

} // namespace bilberryyard
