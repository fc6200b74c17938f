#pragma once

#include "consensus_group.h"
#include "directory_feed.h"
#include "directory_view.h"
#include "fleet_settings.h"
#include "host_list_rotation.h"
#include "known_hosts.h"
#include "peer_channel.h"

#include <Kernel/bounded_mailbox.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/wake_signal.h>
#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace bilberryyard {

/// A control host: takes the announcements of backend servers, keeps the replicated configuration, and tells
/// balancers about both.
class control_service {
public:
    /// Reads the routes out of a stored document.
    using route_reader = std::function<absl::StatusOr<route_table>(std::string const&)>;

    /// @param settings Settings with the role Control.
    /// @param readRoutes Reads stored documents.
    /// @param seeds Tells about changed seeds.
    /// @param metrics Receives metrics; outlives this object.
    /// @return The service; the error of a socket.
    static absl::StatusOr<std::unique_ptr<control_service>> create(
        fleet_settings const& settings, route_reader readRoutes, seed_source seeds, metrics_registry& metrics);

    /// Takes an announcement. Called from any thread.
    /// @param announcement What a server said; Gone when it has left.
    /// @return What it changed.
    announcement_effect announce(backend_announcement const& announcement);

    /// Stores a document; waits until it is stored or cannot be. Called from any thread but the service's.
    /// @param document A valid document.
    /// @return Ok when it or a higher version is stored.
    document_response store(versioned_document document);

    /// Reads the current document. Called from any thread but the service's.
    /// @return The document, or why it cannot be given.
    document_response read();

    /// Runs the service on the calling thread.
    /// @param isStopping Asks whether to hand over leadership and end.
    void run(std::function<bool()> const& isStopping);

    /// Wakes run(), so that it notices a signal.
    wake_signal const& wake() const { return m_wake; }

private:
    control_service(fleet_settings const& settings, route_reader readRoutes, seed_source seeds,
        metrics_registry& metrics, peer_channel channel, wake_signal wake);

    template <typename Function>
    document_response ask(Function function);
    void logRequest(char const* kind, uint64_t version, document_response const& answer) const;

    void step();
    void wait(monotonic_time now);
    void receive();
    void handle(ip_endpoint const& sender, hello_message const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, control_envelope const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, join_request const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now);
    void handle(ip_endpoint const&, route_table const&, monotonic_time) { }

    void greetPeers(monotonic_time now);
    void publishDirectory(monotonic_time now);
    void publishRoutes(monotonic_time now);
    void refreshRoutes(monotonic_time now);
    void readSeeds();
    void restoreLastKnown(monotonic_time now);
    void restoreServers(directory_update update, monotonic_time now);
    enum class server_push : uint8_t {
        Done,
        /// Balancers ask for the servers themselves.
        Left,
    };
    /// Tells all balancers known from an earlier run what it left.
    server_push greetBalancers(monotonic_time now);
    directory_update allServers(monotonic_time now) const;
    std::string const& encodedServers(monotonic_time now);
    void sendMissingServers(ip_endpoint const& receiver, hello_message const& message, monotonic_time now);
    /// @return An answer that lists all hosts that the receiver has to know.
    hello_response makeHelloResponse(host_role receiver, monotonic_time now) const;
    /// @return An answer that names this host alone.
    hello_response makeSelfOnlyHelloResponse(monotonic_time now) const;
    void saveLastKnown(monotonic_time now);
    void updateMetrics();
    std::vector<ip_endpoint> controlPeers(monotonic_time now) const;
    fleet_host self() const;

    fleet_settings m_settings;
    route_reader m_readRoutes;
    seed_source m_seedSource;
    metrics_registry& m_metrics;
    event_logger m_logger { "control" };
    control_codec m_codec { 0 };
    peer_channel m_channel;
    wake_signal m_wake;
    monotonic_time m_startedAt;
    known_hosts m_hosts;
    host_list_rotation m_listTurn;
    directory_feed m_feed;
    /// What other control hosts hear, and what an earlier run of this one knew. Balancers hear it from those; it serves
    /// a balancer that starts while they are away.
    directory_view m_others;
    /// When a host was last sent a whole directory.
    std::map<std::pair<ip_endpoint, server_scope>, monotonic_time> m_wholeSentAt;
    /// The servers of all control hosts as they were lately.
    std::string m_encodedServers;
    monotonic_time m_serversEncodedAt;
    consensus_group m_group;

    uint64_t m_routesVersion = 0;
    std::string m_encodedRoutes;
    monotonic_time m_routesChangedAt;
    uint64_t m_publishedVersion = 0;
    monotonic_time m_routesPublishedAt;
    monotonic_time m_directoryPublishedAt;
    uint64_t m_savedRevision = 0;
    std::string m_savedHosts;
    bool m_isRestored = false;
    monotonic_time m_greetedAt;
    monotonic_time m_maintainedAt;
    monotonic_time m_flushedAt;

    bounded_mailbox<std::function<void()>> m_tasks { 256 };
};

} // namespace bilberryyard
