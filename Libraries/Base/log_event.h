#pragma once

#include <compare>
#include <span>
#include <string_view>

namespace bilberryyard {

enum class log_severity {
    Debug,
    Information,
    Warning,
    Error,
};

/// A kind of log event. Numbers are never reused; docs/log-catalogue.md explains each.
struct log_event {
    int number;
    log_severity severity;
    std::string_view name;
    auto operator<=>(log_event const&) const = default;
};

/// Events by component: 100 daemon, 200 data plane, 300 tables, 400 membership, 500 configuration,
/// 600 consensus, 700 HTTP.
namespace events {
    inline constexpr log_event daemonStarted { 100, log_severity::Information, "daemon_started" };
    inline constexpr log_event daemonStopping { 101, log_severity::Information, "daemon_stopping" };
    inline constexpr log_event daemonStopped { 102, log_severity::Information, "daemon_stopped" };
    inline constexpr log_event settingsRefused { 103, log_severity::Error, "settings_refused" };
    inline constexpr log_event startFailed { 104, log_severity::Error, "start_failed" };
    inline constexpr log_event settingsReloaded { 105, log_severity::Information, "settings_reloaded" };
    inline constexpr log_event packetSocketError { 200, log_severity::Error, "packet_socket_error" };
    inline constexpr log_event flowPlaced { 201, log_severity::Information, "flow_placed" };
    inline constexpr log_event flowReset { 202, log_severity::Information, "flow_reset" };
    inline constexpr log_event packetDropped { 203, log_severity::Information, "packet_dropped" };
    inline constexpr log_event serverEjected { 204, log_severity::Warning, "server_ejected" };
    inline constexpr log_event linesSuppressed { 205, log_severity::Warning, "lines_suppressed" };
    inline constexpr log_event evacuationInForce { 206, log_severity::Information, "evacuation_in_force" };
    inline constexpr log_event warmUpLimitReached { 210, log_severity::Warning, "warm_up_limit_reached" };
    inline constexpr log_event linkLoaded { 215, log_severity::Information, "link_loaded" };
    inline constexpr log_event serverTrustLost { 220, log_severity::Warning, "server_trust_lost" };
    inline constexpr log_event serverTrustRegained { 221, log_severity::Information, "server_trust_regained" };
    inline constexpr log_event flowsLeftZone { 225, log_severity::Information, "flows_left_zone" };
    inline constexpr log_event tableChanged { 300, log_severity::Information, "table_changed" };
    inline constexpr log_event serverJoined { 400, log_severity::Information, "server_joined" };
    inline constexpr log_event serverLeaseExpired { 401, log_severity::Warning, "server_lease_expired" };
    inline constexpr log_event serverDraining { 402, log_severity::Information, "server_draining" };
    inline constexpr log_event serverAnnounced { 403, log_severity::Information, "server_announced" };
    inline constexpr log_event announcementRefused { 404, log_severity::Warning, "announcement_refused" };
    inline constexpr log_event hostHeard { 405, log_severity::Information, "host_heard" };
    inline constexpr log_event hostSilent { 406, log_severity::Warning, "host_silent" };
    inline constexpr log_event readinessChanged { 407, log_severity::Information, "readiness_changed" };
    inline constexpr log_event directoryPageReceived { 408, log_severity::Information, "directory_page_received" };
    inline constexpr log_event serversLate { 409, log_severity::Warning, "servers_late" };
    inline constexpr log_event peerMessageRefused { 410, log_severity::Warning, "peer_message_refused" };
    inline constexpr log_event serverDisplaced { 411, log_severity::Information, "server_displaced" };
    inline constexpr log_event warmUpBudgetShared { 412, log_severity::Information, "warm_up_budget_shared" };
    inline constexpr log_event configurationInForce { 500, log_severity::Information, "configuration_in_force" };
    inline constexpr log_event configurationRefused { 501, log_severity::Error, "configuration_refused" };
    inline constexpr log_event configurationNotSaved { 502, log_severity::Warning, "configuration_not_saved" };
    inline constexpr log_event savedConfigurationDamaged { 503, log_severity::Warning, "saved_configuration_damaged" };
    inline constexpr log_event memberStarted { 600, log_severity::Information, "member_started" };
    inline constexpr log_event waitingToBeAdded { 601, log_severity::Warning, "waiting_to_be_added" };
    inline constexpr log_event storageFailed { 602, log_severity::Error, "storage_failed" };
    inline constexpr log_event memberRemoved { 603, log_severity::Information, "member_removed" };
    inline constexpr log_event groupFounded { 604, log_severity::Information, "group_founded" };
    inline constexpr log_event memberRoleChanged { 605, log_severity::Information, "member_role_changed" };
    inline constexpr log_event documentApplied { 606, log_severity::Information, "document_applied" };
    inline constexpr log_event groupChanged { 607, log_severity::Information, "group_changed" };
    inline constexpr log_event documentRequested { 608, log_severity::Information, "document_requested" };
    inline constexpr log_event evacuationApplied { 609, log_severity::Information, "evacuation_applied" };
    inline constexpr log_event evacuationRequested { 610, log_severity::Information, "evacuation_requested" };
    inline constexpr log_event httpListenFailed { 700, log_severity::Error, "http_listen_failed" };
    inline constexpr log_event requestHandlerFailed { 701, log_severity::Error, "request_handler_failed" };
} // namespace events

/// @return All events in ascending order of their numbers.
std::span<log_event const> allLogEvents();

} // namespace bilberryyard
