#pragma once

#include "consensus_group.h"
#include "directory_feed.h"
#include "directory_pages.h"
#include "directory_subscription.h"
#include "fleet_settings.h"
#include "host_list_rotation.h"
#include "known_hosts.h"
#include "peer_channel.h"
#include "route_history.h"
#include "warm_up_control.h"

#include <Base/line_budget.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/wake_signal.h>
#include <Membership/announcement_check.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace bilberryyard {

/// The service of a control host: receives announcements of backend servers, stores the replicated configuration, and
/// sends both to balancers.
class control_service {
public:
    /// Parses the routes of a stored document.
    using route_reader = std::function<absl::StatusOr<route_table>(std::string const&)>;

    /// @param settings Settings with the role Control.
    /// @param seeds Polled for changed seeds.
    /// @param metrics Must outlive this object.
    /// @return The service, or the error of a socket or of the wake signal.
    static absl::StatusOr<std::unique_ptr<control_service>> create(
        fleet_settings const& settings, route_reader readRoutes, seed_source seeds, metrics_registry& metrics);

    /// Applies an announcement of a backend server; its state is Gone if the server has left. Called from any thread.
    /// @return Its effect; InvalidArgument if it names no usable server; Unavailable if the service has stopped, so
    /// that
    ///     the server announces itself elsewhere.
    absl::StatusOr<announcement_effect> announce(backend_announcement const& announcement);

    /// Stores a document. Blocks until the result is known or a timeout expires; must not be called on the thread of
    /// run().
    /// @param document A validated document.
    /// @return Ok if the document or a higher version is stored.
    document_response store(versioned_document document);

    /// Orders or ends the evacuation of an availability zone. Blocks like store(); must not be called on the thread of
    /// run().
    /// @return Ok if the order is in force; InvalidArgument for a zone that the deployment does not have.
    document_response order(evacuation_order const& order);

    /// Reads the current document. Blocks like store(); must not be called on the thread of run().
    /// @return The document, or why it is not available.
    document_response read();

    /// Runs the service on the calling thread until `isStopping` returns true. Then transfers leadership, answers the
    /// calls in progress, and returns.
    void run(std::function<bool()> const& isStopping);

    /// Raise it to make run() check `isStopping`.
    wake_signal const& wake() const { return m_wake; }

private:
    /// A lease is renewed this often. A lost lease is harmless, since balancers tolerate several announcement
    /// intervals.
    static constexpr duration leaseInterval = std::chrono::milliseconds(400);
    /// Updates are no longer sent to a host that was last seen longer ago than this. Hosts send a hello message every
    /// 700 ms.
    static constexpr duration subscriberTimeout = std::chrono::seconds(8);

    control_service(fleet_settings const& settings, route_reader readRoutes, seed_source seeds,
        metrics_registry& metrics, peer_channel channel, wake_signal wake);

    /// Counts and logs an announcement that does not enter the directory.
    void logUnusable(backend_announcement const& announcement, std::string_view reason);
    template <typename Function>
    document_response runOnServiceThread(Function function);
    /// Sends the last changes and waits until the calls in progress have returned.
    void finishCalls();
    void logRequest(char const* kind, uint64_t version, document_response const& response) const;

    void step();
    void wait(monotonic_time now);
    void receive();
    void handle(ip_endpoint const& sender, hello_message const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, control_envelope const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, join_request const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_request const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_page const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, age_request const& message, monotonic_time now);
    void handle(ip_endpoint const&, age_response const&, monotonic_time) { }
    void handle(ip_endpoint const&, route_table const&, monotonic_time) { }
    void handle(ip_endpoint const&, route_difference const&, monotonic_time) { }
    void handle(ip_endpoint const&, evacuated_zones const&, monotonic_time) { }
    void handle(ip_endpoint const& sender, warm_up_request const& message, monotonic_time now);
    void handle(ip_endpoint const&, warm_up_grants const&, monotonic_time) { }
    void handle(ip_endpoint const& sender, failure_report const& message, monotonic_time now);
    void handle(ip_endpoint const&, failure_sums const&, monotonic_time) { }
    /// Sends the sums of the balancers' reports to all balancers while servers look conspicuous.
    void publishFailures(monotonic_time now);

    void sendHellos(monotonic_time now);
    void publishDirectory(monotonic_time now);
    void publishRoutes(monotonic_time now);
    void refreshRoutes(monotonic_time now);
    /// Sends newly evacuated or returned zones to all balancers. Those that miss the message receive it with their next
    /// hello message.
    void refreshEvacuations(monotonic_time now);
    void readSeeds();
    void restoreSavedState(monotonic_time now);
    /// Decodes a file of an earlier incarnation.
    /// @return Its message, or nullopt if there is none of this type.
    template <typename Message>
    std::optional<Message> loadMessage(char const* file);
    void restoreServers(directory_update update, monotonic_time now);
    enum class server_push : uint8_t {
        Done,
        /// The directory is too large; balancers have to request it.
        Skipped,
    };
    /// Offers the state saved by an earlier incarnation to all balancers that it knew.
    server_push pushSavedState(monotonic_time now);
    directory_update allServers(monotonic_time now) const;
    /// @return A current copy of the directory in pages.
    directory_pages& pages(server_scope scope, monotonic_time now);
    /// Makes the services of the routes known to both directories.
    void setServices(route_table const& routes, monotonic_time now);
    /// Passes on to the own directory what other control hosts know about servers.
    void applyChanges(directory_view::changes const& changes);
    /// @return How long changes are collected before they are sent.
    duration changeDelay() const;
    std::string const& encodedServers(monotonic_time now);
    void sendMissingRoutes(ip_endpoint const& receiver, hello_message const& message, monotonic_time now);
    /// Responds to balancers before the log is opened, as long as they request the directory.
    void serveStartingBalancers(std::function<bool()> const& isStopping);
    void sendMissingServers(ip_endpoint const& receiver, hello_message const& message, monotonic_time now);
    /// @return A response that lists all hosts that a receiver with this role needs.
    hello_response makeHelloResponse(host_role receiver, monotonic_time now) const;
    /// @return A response that lists only this host.
    hello_response makeSelfOnlyHelloResponse(monotonic_time now) const;
    void saveState(monotonic_time now);
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
    std::mutex m_announcementLinesMutex;
    line_budget m_announcementLines;
    known_hosts m_hosts;
    host_list_rotation m_hostListRotation;
    directory_feed m_feed;
    warm_up_control m_warmUp;
    /// Servers reported by other control hosts or restored from an earlier incarnation of this one. Balancers normally
    /// receive them from those hosts; this copy serves a balancer that starts while they are down.
    directory_subscription m_otherServers;
    struct paged_directory {
        directory_pages pages;
        monotonic_time assignedAt;
    };
    std::map<server_scope, paged_directory> m_pages;
    monotonic_time m_leaseSentAt;
    monotonic_time m_pageSentAt;
    size_t m_subscribers = 0;
    /// When a full directory was last sent to a host.
    std::map<std::pair<ip_endpoint, server_scope>, monotonic_time> m_fullDirectorySentAt;
    /// Cached encoded directory of all control hosts.
    std::string m_encodedServers;
    monotonic_time m_serversEncodedAt;
    consensus_group m_group;

    evacuated_zones m_evacuations;
    /// The highest revision that this host, its saved file or any balancer has named.
    uint64_t m_highestEvacuationRevision = 0;
    uint64_t m_routesVersion = 0;
    /// The newest routes as one message, for the file and for balancers that know no differences.
    std::string m_encodedRoutes;
    route_history m_routeHistory;
    monotonic_time m_routesChangedAt;
    uint64_t m_publishedVersion = 0;
    monotonic_time m_routesPublishedAt;
    monotonic_time m_directoryPublishedAt;
    failure_aggregator m_failures { failure_evidence_settings() };
    /// The latest sums; sent without servers once after the last one has left them.
    failure_sums m_publishedFailures;
    monotonic_time m_failuresPublishedAt;
    uint64_t m_savedRevision = 0;
    std::string m_savedHosts;
    bool m_isDirectoryRestored = false;
    monotonic_time m_helloSentAt;
    monotonic_time m_maintainedAt;
    monotonic_time m_flushedAt;

    bounded_mailbox<std::function<void()>> m_tasks { 256 };
    /// Calls of store() and read() that have not returned.
    std::atomic<int> m_activeCalls { 0 };
    std::atomic<bool> m_isStopped { false };
};

} // namespace bilberryyard
