#include <OperatorInterface/http_server.h>

#include <Base/error_kind.h>
#include <Base/event_logger.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <civetweb.h>
#include <exception>
#include <string>
#include <thread>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr int contentTooLarge = 413;
    constexpr int requestTimedOut = 408;
    // The flag of mg_check_feature() for IPv6 support.
    constexpr unsigned ipv6Feature = 8;
    // Header values must not contain line breaks. This is not checked, because handlers never copy text from a request
    // into a header field.
    constexpr std::string_view lineEnd = "\r\n";

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(), [](char character) {
            return character >= 'A' && character <= 'Z' ? static_cast<char>(character + 32) : character;
        });
        return result;
    }

    http_request requestWithoutBody(mg_request_info const& information)
    {
        http_request request;
        request.method = information.request_method ? information.request_method : "";
        request.path = information.local_uri ? information.local_uri : "";
        if (information.query_string)
            request.query = parseQuery(information.query_string);
        for (int index = 0; index < information.num_headers; ++index)
            request.headers.emplace(
                lowerCase(information.http_headers[index].name), information.http_headers[index].value);
        return request;
    }

    void send(mg_connection* connection, http_response const& response)
    {
        auto const* text = mg_get_response_code_text(connection, response.status);
        std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + text;
        auto const addField = [&](std::string const& name, std::string const& value) {
            head.append(lineEnd).append(name).append(": ").append(value);
        };
        addField("Content-Type", response.contentType);
        addField("Content-Length", std::to_string(response.body.size()));
        addField("Cache-Control", "no-store");
        addField("Connection", "close");
        for (auto const& [name, value] : response.headers)
            addField(name, value);
        head.append(lineEnd).append(lineEnd);
        // Write errors are ignored: they mean that the client has disconnected.
        if (mg_write(connection, head.data(), head.size()) > 0)
            mg_write(connection, response.body.data(), response.body.size());
    }

    enum class body_outcome {
        Complete,
        TooLarge,
        TimedOut,
    };

    // CivetWeb's timeout applies to each read. The deadline for the whole body stops clients that send single bytes.
    body_outcome readBody(
        mg_connection* connection, long long contentLength, size_t maximumSize, duration timeout, std::string& body)
    {
        if (contentLength > static_cast<long long>(maximumSize))
            return body_outcome::TooLarge;
        auto const deadline = std::chrono::steady_clock::now() + timeout;
        std::array<char, 16384> chunk;
        while (true) {
            int const count = mg_read(connection, chunk.data(), chunk.size());
            if (count <= 0)
                break;
            body.append(chunk.data(), static_cast<size_t>(count));
            if (body.size() > maximumSize)
                return body_outcome::TooLarge;
            if (std::chrono::steady_clock::now() > deadline)
                return body_outcome::TimedOut;
        }
        bool const complete = contentLength < 0 || static_cast<long long>(body.size()) == contentLength;
        return complete ? body_outcome::Complete : body_outcome::TimedOut;
    }

} // namespace

struct http_server::implementation {
    http_router router;
    http_limits limits;
    mg_context* context = nullptr;
    std::atomic<int> activeRequests { 0 };

    static int handleRequest(mg_connection* connection)
    {
        auto const& information = *mg_get_request_info(connection);
        auto& self = *static_cast<implementation*>(information.user_data);
        ++self.activeRequests;
        auto const response = self.makeResponseWithoutException(connection, information);
        mg_disable_keep_alive(connection);
        send(connection, response);
        --self.activeRequests;
        return response.status;
    }

    // CivetWeb is written in C, so an exception that left the handler would end the process.
    http_response makeResponseWithoutException(
        mg_connection* connection, mg_request_info const& information) const noexcept
    {
        try {
            return makeResponse(connection, information);
        } catch (std::exception const& error) {
            event_logger { "http" }.emit(events::requestHandlerFailed, error.what());
            return makeErrorResponse({}, makeError(error_kind::Internal, "the request handler failed"));
        }
    }

    // Responds to requests that CivetWeb refuses before any handler is called, for example because the request line is
    // invalid.
    static int handleProtocolError(mg_connection* connection, int status, char const* message)
    {
        auto const kind = status < 500 ? error_kind::InvalidArgument : error_kind::Internal;
        auto response = makeErrorResponse({}, makeError(kind, message ? message : "the request is not valid HTTP"));
        response.status = status;
        mg_disable_keep_alive(connection);
        send(connection, response);
        return 0;
    }

    http_response makeResponse(mg_connection* connection, mg_request_info const& information) const
    {
        auto request = requestWithoutBody(information);
        auto const maximumSize = std::min(limits.maximumBodySize, router.maximumBodySize(request.path));
        auto const outcome
            = readBody(connection, information.content_length, maximumSize, limits.requestTimeout, request.body);
        if (outcome == body_outcome::Complete)
            return router.handle(request);
        bool const tooLarge = outcome == body_outcome::TooLarge;
        auto response = makeErrorResponse(request,
            tooLarge ? makeError(error_kind::ResourceExhausted,
                "the request body is larger than " + std::to_string(maximumSize) + " bytes")
                     : makeError(error_kind::DeadlineExceeded,
                         "the request body is incomplete or did not arrive within the timeout"));
        response.status = tooLarge ? contentTooLarge : requestTimedOut;
        return response;
    }
};

bool http_server::waitUntilIdle(duration timeout) const
{
    constexpr std::chrono::milliseconds pollInterval { 5 };
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (m_implementation->activeRequests > 0) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

http_server::http_server(endpoint const& address, std::unique_ptr<implementation> state)
    : m_address(address)
    , m_implementation(std::move(state))
{
}

http_server::~http_server() { mg_stop(m_implementation->context); }

absl::StatusOr<std::unique_ptr<http_server>> http_server::create(
    endpoint const& address, http_router router, http_limits const& limits)
{
    mg_init_library(0);
    if (!address.address.isIpv4() && !mg_check_feature(ipv6Feature))
        return makeError(error_kind::FailedPrecondition,
            "HTTP cannot listen on " + address.toText() + ": CivetWeb was built without IPv6");
    auto state = std::make_unique<implementation>();
    state->router = std::move(router);
    state->limits = limits;
    std::string const ports = address.toText();
    std::string const threads = std::to_string(limits.threads);
    std::string const timeout
        = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(limits.requestTimeout).count());
    std::array<char const*, 9> options { "listening_ports", ports.c_str(), "num_threads", threads.c_str(),
        "request_timeout_ms", timeout.c_str(), "enable_keep_alive", "no", nullptr };
    mg_callbacks callbacks {};
    callbacks.begin_request = implementation::handleRequest;
    callbacks.http_error = implementation::handleProtocolError;
    // Keeps CivetWeb from writing its own log; errors are returned to the caller instead.
    callbacks.log_message = [](mg_connection const*, char const*) { return 1; };
    std::array<char, 256> errorText {};
    mg_init_data init { &callbacks, state.get(), options.data() };
    unsigned errorCode = 0;
    mg_error_data error { &errorCode, errorText.data(), errorText.size() };
    state->context = mg_start2(&init, &error);
    if (!state->context)
        return makeError(
            error_kind::Unavailable, "HTTP port " + ports + " cannot be opened: " + std::string(errorText.data()));
    mg_server_port opened {};
    if (mg_get_server_ports(state->context, 1, &opened) != 1) {
        mg_stop(state->context);
        return makeError(error_kind::Unavailable, "HTTP port " + ports + " is not open after the start of CivetWeb");
    }
    endpoint const actual { address.address, static_cast<uint16_t>(opened.port) };
    return std::unique_ptr<http_server>(new http_server(actual, std::move(state)));
}

} // namespace bilberryyard
