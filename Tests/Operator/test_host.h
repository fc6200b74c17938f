#pragma once

#include "../OperatorInterface/memory_backend.h"

#include <OperatorInterface/balancer_api.h>
#include <OperatorInterface/health_api.h>
#include <OperatorInterface/http_server.h>
#include <OperatorInterface/operator_api.h>
#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bilberryyard::test {

/// Data plane of the test host: explains every flow with the service "orders" and has no servers.
struct data_plane_stub {
    absl::StatusOr<std::vector<document_member>> explain(flow_key const&)
    {
        return std::vector<document_member> { { "service", document::text("orders") } };
    }
    absl::Status registerServer(server_registration const&) { return absl::OkStatus(); }
    std::vector<server_row> servers() { return {}; }
};

/// A host with an empty replicated log. All hosts share one HTTP server, because stopping a server takes 2 s.
class test_host {
public:
    test_host()
    {
        m_api.registerAt(m_router);
        m_balancerApi.registerAt(m_router);
        m_healthApi.registerAt(m_router);
        setHandler([this](http_request const& request) { return m_router.handle(request); });
    }
    ~test_host()
    {
        setHandler([](http_request const& request) {
            return makeErrorResponse(request, makeError(error_kind::Internal, "no test is running"));
        });
    }

    /// Replaces the handler of all requests to the host.
    void setHandler(http_handler handler)
    {
        auto& shared = sharedServer();
        std::unique_lock const lock(shared.mutex);
        shared.handler = std::move(handler);
    }

    http_response handle(http_request const& request) const { return m_router.handle(request); }
    std::string address() const { return sharedServer().server->address().toText(); }
    memory_backend& backend() { return m_backend; }

private:
    struct shared_server {
        std::shared_mutex mutex;
        http_handler handler;
        std::unique_ptr<http_server> server;

        shared_server()
        {
            http_router router;
            auto const forward = [this](http_request const& request) {
                // The lock is held while the handler runs, so that no handler outlives its test.
                std::shared_lock const lock(mutex);
                return handler(request);
            };
            router.add("/v1", forward);
            router.add("/metrics", forward);
            server = http_server::create({ ip_address::fromIpv4(INADDR_LOOPBACK), 0 }, router).value();
        }
    };

    static shared_server& sharedServer()
    {
        static shared_server shared;
        return shared;
    }

    memory_backend m_backend;
    operator_api<memory_backend> m_api { m_backend, fixedTime };
    data_plane_stub m_dataPlane;
    balancer_api<data_plane_stub> m_balancerApi { m_dataPlane };
    health_api m_healthApi { [] { return readiness::Ready; }, [] { return "requests_total 1\n"; } };
    http_router m_router;
};

/// Accepts connections and forwards each request, but closes the connection without a response.
class response_dropping_host {
public:
    /// @param forwardBody Receives the body of each request, on the thread of this object.
    explicit response_dropping_host(std::function<void(std::string const& body)> forwardBody)
        : m_forwardBody(std::move(forwardBody))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        listen(m_listener, 16);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~response_dropping_host()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int requests() const { return m_requests; }

private:
    void serve()
    {
        for (int connection = -1; (connection = accept(m_listener, nullptr, nullptr)) >= 0;) {
            std::string text;
            char part[4096];
            while (!isComplete(text)) {
                auto const count = recv(connection, part, sizeof(part), 0);
                if (count <= 0)
                    break;
                text.append(part, static_cast<size_t>(count));
            }
            if (isComplete(text)) {
                ++m_requests;
                m_forwardBody(text.substr(text.find("\r\n\r\n") + 4));
            }
            close(connection);
        }
    }

    static bool isComplete(std::string const& text)
    {
        size_t const end = text.find("\r\n\r\n");
        size_t const field = text.find("Content-Length: ");
        return end != std::string::npos && field < end && text.size() >= end + 4 + std::stoul(text.substr(field + 16));
    }

    std::function<void(std::string const&)> m_forwardBody;
    int m_listener;
    uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

} // namespace bilberryyard::test
