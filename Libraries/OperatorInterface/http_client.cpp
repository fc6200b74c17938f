#include <OperatorInterface/http_client.h>

#include <Base/error_kind.h>
#include <array>
#include <chrono>
#include <civetweb.h>
#include <memory>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr size_t maximumResponseSize = size_t { 64 } * 1024 * 1024;

    struct connection_closer {
        void operator()(mg_connection* connection) const { mg_close_connection(connection); }
    };
    using connection_handle = std::unique_ptr<mg_connection, connection_closer>;

    std::string requestText(endpoint const& server, http_request const& request)
    {
        std::string target = request.path;
        char separator = '?';
        for (auto const& [name, value] : request.query) {
            target += std::exchange(separator, '&');
            target += percentEncode(name) + "=" + percentEncode(value);
        }
        std::string text = request.method + " " + target + " HTTP/1.1\r\nHost: " + server.toText()
            + "\r\nConnection: close\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
        for (auto const& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        return text + "\r\n" + request.body;
    }

    bool writeAll(mg_connection* connection, std::string const& text)
    {
        size_t written = 0;
        while (written < text.size()) {
            int const count = mg_write(connection, text.data() + written, text.size() - written);
            if (count <= 0)
                return false;
            written += static_cast<size_t>(count);
        }
        return true;
    }

    absl::StatusOr<http_response> readResponse(
        mg_connection* connection, std::string const& name, std::chrono::steady_clock::time_point deadline)
    {
        std::array<char, 256> errorText {};
        auto const remaining = [&] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now())
                .count();
        };
        int const wait = static_cast<int>(std::max<int64_t>(1, remaining()));
        if (mg_get_response(connection, errorText.data(), errorText.size(), wait) < 0)
            return remaining() <= 0
                ? makeError(error_kind::DeadlineExceeded, name + " did not answer in time")
                : makeError(error_kind::Unavailable, name + " closed the connection without an answer");
        auto const& information = *mg_get_response_info(connection);
        http_response response;
        response.status = information.status_code;
        for (int index = 0; index < information.num_headers; ++index)
            response.headers.emplace(information.http_headers[index].name, information.http_headers[index].value);
        std::array<char, 16384> part;
        for (int count = 0; (count = mg_read(connection, part.data(), part.size())) > 0;) {
            response.body.append(part.data(), static_cast<size_t>(count));
            if (response.body.size() > maximumResponseSize || remaining() <= 0)
                return makeError(error_kind::DeadlineExceeded, name + " did not answer completely in time");
        }
        if (information.content_length >= 0 && response.body.size() != static_cast<size_t>(information.content_length))
            return makeError(error_kind::Unavailable, name + " closed the connection within its answer");
        return response;
    }

} // namespace

http_exchange exchangeHttp(endpoint const& server, http_request const& request, duration timeout)
{
    mg_init_library(0);
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    std::array<char, 256> errorText {};
    connection_handle const connection(
        mg_connect_client(server.address.toText().c_str(), server.port, 0, errorText.data(), errorText.size()));
    auto const name = server.toText();
    if (!connection)
        return { makeError(error_kind::Unavailable, name + " cannot be reached: " + errorText.data()),
            delivery::NotSent };
    if (!writeAll(connection.get(), requestText(server, request)))
        return { makeError(error_kind::Unavailable, name + " closed the connection within the request"),
            delivery::Unknown };
    return { readResponse(connection.get(), name, deadline), delivery::Unknown };
}

} // namespace bilberryyard
