#pragma once

#include <OperatorInterface/http_response.h>
#include <map>
#include <string>

namespace bilberryyard {

/// Finds the handler of a request by the longest prefix of its path.
class http_router {
public:
    /// @param prefix "/v1/audit" matches itself and paths that start with "/v1/audit/".
    /// @param handler Answers matching requests; replaces an earlier handler of the prefix.
    void add(std::string const& prefix, http_handler handler);

    /// @param request Any request.
    /// @return The handler's response; NotFound for a path without handler, Internal when the handler throws.
    http_response answer(http_request const& request) const;

private:
    std::map<std::string, http_handler> m_handlers;
};

} // namespace bilberryyard
