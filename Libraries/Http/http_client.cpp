#include <Http/http_client.h>

#include <Base/error_kind.h>
#include <array>
#include <civetweb.h>
#include <memory>

namespace bilberryyard {

namespace {

    // Bounds the memory that a wrong server can make a client use.
    constexpr size_t maximumResponseSize = 64 << 20;

    struct connection_closer {
        void operator()(mg_connection* connection) const { mg_close_connection(connection); }
    };

    using client_connection = std::unique_ptr<mg_connection, connection_closer>;

    absl::StatusOr<std::string> readBody(mg_connection* connection)
    {
        std::string body;
        std::array<char, 16384> chunk {};
        while (true) {
            auto const count = mg_read(connection, chunk.data(), chunk.size());
            if (count < 0)
                return makeError(error_kind::DeadlineExceeded, "the response ended early");
            if (count == 0)
                return body;
            body.append(chunk.data(), static_cast<size_t>(count));
            if (body.size() > maximumResponseSize)
                return makeError(error_kind::ResourceExhausted, "the response is larger than 64 MiB");
        }
    }

} // namespace

http_client::http_client(std::chrono::milliseconds timeout)
    : m_timeout(timeout)
{
    mg_init_library(0);
}

absl::StatusOr<http_response> http_client::request(ip_endpoint const& endpoint, std::string const& method,
    std::string const& path, std::string const& body, std::string const& contentType) const
{
    std::array<char, 256> message {};
    auto const host = endpoint.address.toText();
    client_connection const connection(
        mg_connect_client(host.c_str(), endpoint.port, 0, message.data(), message.size()));
    if (!connection)
        return makeError(error_kind::Unavailable, endpoint.toText() + ": " + message.data());
    auto const header = method + " " + path + " HTTP/1.1\r\nHost: " + endpoint.toText()
        + "\r\nConnection: close\r\nContent-Type: " + contentType + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n";
    auto const text = header + body;
    if (mg_write(connection.get(), text.data(), text.size()) != static_cast<int>(text.size()))
        return makeError(error_kind::Unavailable, endpoint.toText() + ": the connection was closed while sending");
    auto const received
        = mg_get_response(connection.get(), message.data(), message.size(), static_cast<int>(m_timeout.count()));
    if (received < 0)
        return makeError(error_kind::DeadlineExceeded, endpoint.toText() + ": no response: " + message.data());
    auto const* information = mg_get_response_info(connection.get());
    if (!information)
        return makeError(error_kind::DeadlineExceeded, endpoint.toText() + ": no response");
    auto const status = information->status_code;
    auto responseBody = readBody(connection.get());
    if (!responseBody.ok())
        return responseBody.status();
    return http_response { status, *std::move(responseBody) };
}

} // namespace bilberryyard
