#pragma once

#include <Base/boot_clock.h>
#include <Fleet/balancer_control.h>
#include <Fleet/control_service.h>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bilberryyard {

inline route_table tableOf(uint64_t version)
{
    route_table table;
    table.version = version;
    table.services = { { "orders", 0 } };
    service_route route;
    route.services = { { 0, 1 } };
    table.routes[{ ip_address::fromIpv4(0xc6120001), 443 }] = route;
    return table;
}

/// Runs control hosts on loopback addresses; documents contain only their version.
class control_fixture {
public:
    control_fixture()
        : m_folder(std::filesystem::temp_directory_path() / ("bilberryyard-fleet-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(m_folder);
    }
    ~control_fixture() { std::filesystem::remove_all(m_folder); }

    static ip_address addressOf(int number)
    {
        // Each test process has its own network, since several may run at a time.
        auto const network = static_cast<uint32_t>(getpid()) % 250 + 1;
        return ip_address::fromIpv4(0x7f580000U + (network << 8) + static_cast<uint32_t>(number));
    }

    fleet_settings settingsOf(int number, std::vector<int> const& seeds, host_role role = host_role::Control)
    {
        fleet_settings settings;
        settings.name = "host-" + std::to_string(number);
        settings.zone = "a";
        settings.zones = { "a", "b" };
        settings.role = role;
        settings.address = addressOf(number);
        settings.peerPort = 27'921;
        for (auto const seed : seeds)
            settings.seeds.push_back({ addressOf(seed), 27'922 });
        settings.bootstrap = bootstrap_permission::Granted;
        settings.dataFolder = (m_folder / settings.name).string();
        settings.controlEndpoint = ip_endpoint { settings.address, 27'922 };
        std::filesystem::create_directories(settings.dataFolder);
        return settings;
    }

    /// A control host that runs on its own thread until this object is destroyed.
    class running_control_host {
    public:
        running_control_host(fleet_settings const& settings, metrics_registry& metrics)
            : service(control_service::create(
                settings, [](std::string const& bytes) { return tableOf(std::stoull(bytes)); },
                [] { return std::nullopt; }, metrics)
                          .value())
            , m_thread([this] {
                service->run([this] {
                    while (m_isSuspended && !m_isStopping)
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    return m_isStopping.load();
                });
            })
        {
        }
        ~running_control_host() { stop(); }

        /// Stops the service as SIGTERM does, and waits until run() has returned.
        void stop() const
        {
            if (!m_thread.joinable())
                return;
            m_isStopping = true;
            service->wake().raise();
            m_thread.join();
        }

        /// Suspends the service thread as a frozen host, or resumes it.
        void setSuspended(bool isSuspended) const { m_isSuspended = isSuspended; }

        std::unique_ptr<control_service> service;

    private:
        mutable std::atomic<bool> m_isStopping { false };
        mutable std::atomic<bool> m_isSuspended { false };
        mutable std::thread m_thread;
    };

    static document_response storeWithin(control_service& service, uint64_t version, std::chrono::seconds timeout)
    {
        auto const deadline = bootTime() + timeout;
        document_response response;
        do {
            response = service.store({ version, std::to_string(version) });
        } while (!response.status.ok() && bootTime() < deadline);
        return response;
    }

    /// Stores a version through the leader among the hosts.
    static bool storeAtLeader(std::vector<control_service*> const& hosts, uint64_t version)
    {
        for (auto const deadline = bootTime() + std::chrono::seconds(10); bootTime() < deadline;) {
            for (auto* const host : hosts) {
                if (host->store({ version, std::to_string(version) }).status.ok())
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    metrics_registry metrics;

private:
    std::filesystem::path m_folder;
};

/// A balancer's control protocol without packet forwarding.
class balancer_probe {
public:
    explicit balancer_probe(fleet_settings const& settings)
        : m_channel(peer_channel::create({ settings.address, settings.peerPort }).value())
        , router({}, "a", 1)
        , control(settings, m_channel, router, bootTime())
    {
    }

    bool waitUntilReady(std::chrono::seconds timeout)
    {
        for (auto const deadline = bootTime() + timeout; bootTime() < deadline && !control.isReady();)
            run(std::chrono::milliseconds(10));
        return control.isReady();
    }

    /// Handles what has arrived, then waits.
    void run(std::chrono::milliseconds pause)
    {
        control.step(bootTime());
        bool isEmpty = false;
        while (!isEmpty) {
            if (auto const message = m_channel.receive(bootTime(), isEmpty))
                control.receive(message->sender, message->message, bootTime());
        }
        control.updateReadiness(bootTime());
        std::this_thread::sleep_for(pause);
    }

private:
    peer_channel m_channel;

public:
    token_router router;
    balancer_control control;
};

} // namespace bilberryyard
