#include <OperatorInterface/http_client.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <civetweb.h>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr size_t maximumResponseSize = size_t { 64 } * 1024 * 1024;

    struct connection_closer {
        void operator()(mg_connection* connection) const { mg_close_connection(connection); }
    };
    using connection_handle = std::unique_ptr<mg_connection, connection_closer>;

    class descriptor_closer {
    public:
        explicit descriptor_closer(int descriptor)
            : m_descriptor(descriptor)
        {
        }
        descriptor_closer(descriptor_closer const&) = delete;
        descriptor_closer& operator=(descriptor_closer const&) = delete;
        ~descriptor_closer() { close(m_descriptor); }

    private:
        int m_descriptor;
    };

    int startConnecting(int descriptor, endpoint const& server)
    {
        if (server.address.isIpv4()) {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(server.address.toIpv4());
            address.sin_port = htons(server.port);
            return connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
        }
        sockaddr_in6 address {};
        address.sin6_family = AF_INET6;
        std::copy(server.address.bytes.begin(), server.address.bytes.end(), address.sin6_addr.s6_addr);
        address.sin6_port = htons(server.port);
        return connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    }

    // CivetWeb waits up to 10 s for a connection, regardless of the caller's timeout, so an unreachable host in another
    // partition would use up that timeout. A separate connection attempt detects such hosts within the timeout.
    absl::Status probeConnection(endpoint const& server, duration timeout)
    {
        int const family = server.address.isIpv4() ? AF_INET : AF_INET6;
        int const descriptor = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return makeError(error_kind::Internal, "cannot open a socket");
        descriptor_closer const closer(descriptor);
        int error = startConnecting(descriptor, server) == 0 ? 0 : errno;
        if (error == EINPROGRESS) {
            pollfd entry { descriptor, POLLOUT, 0 };
            auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
            if (poll(&entry, 1, static_cast<int>(std::max<int64_t>(1, milliseconds))) <= 0)
                return makeError(
                    error_kind::Unavailable, server.toText() + " cannot be reached: the connection attempt timed out");
            socklen_t size = sizeof(error);
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0)
            return makeError(error_kind::Unavailable,
                server.toText() + " cannot be reached: " + std::system_category().message(error));
        return absl::OkStatus();
    }

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
        int const timeoutMilliseconds = static_cast<int>(std::max<int64_t>(1, remaining()));
        if (mg_get_response(connection, errorText.data(), errorText.size(), timeoutMilliseconds) < 0)
            return remaining() <= 0
                ? makeError(error_kind::DeadlineExceeded, name + " did not respond within the timeout")
                : makeError(error_kind::Unavailable, name + " closed the connection without a response");
        auto const& information = *mg_get_response_info(connection);
        http_response response;
        response.status = information.status_code;
        for (int index = 0; index < information.num_headers; ++index)
            response.headers.emplace(information.http_headers[index].name, information.http_headers[index].value);
        std::array<char, 16384> chunk;
        for (int count = 0; (count = mg_read(connection, chunk.data(), chunk.size())) > 0;) {
            response.body.append(chunk.data(), static_cast<size_t>(count));
            if (response.body.size() > maximumResponseSize || remaining() <= 0)
                return makeError(error_kind::DeadlineExceeded,
                    name + " sent a response that is too large or was not complete within the timeout");
        }
        if (information.content_length >= 0 && response.body.size() != static_cast<size_t>(information.content_length))
            return makeError(error_kind::Unavailable, name + " closed the connection before its response was complete");
        return response;
    }

} // namespace

http_exchange exchangeHttp(endpoint const& server, http_request const& request, duration timeout)
{
    mg_init_library(0);
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    if (auto status = probeConnection(server, timeout); !status.ok())
        return { status, delivery::NotSent };
    std::array<char, 256> errorText {};
    connection_handle const connection(
        mg_connect_client(server.address.toText().c_str(), server.port, 0, errorText.data(), errorText.size()));
    auto const name = server.toText();
    if (!connection)
        return { makeError(error_kind::Unavailable, name + " cannot be reached: " + errorText.data()),
            delivery::NotSent };
    if (!writeAll(connection.get(), requestText(server, request)))
        return { makeError(
                     error_kind::Unavailable, name + " closed the connection before the request was sent completely"),
            delivery::Unknown };
    return { readResponse(connection.get(), name, deadline), delivery::Unknown };
}

} // namespace bilberryyard
