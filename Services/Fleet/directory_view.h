#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <Membership/server_liveness.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// Merged directory of the backend servers that several control hosts report.
class directory_view {
public:
    /// The latest state of a control host's directory that was received.
    struct position {
        /// Incarnation of the control host; 0 before the first update.
        uint64_t epoch = 0;
        uint64_t revision = 0;
        auto operator<=>(position const&) const = default;
    };

    /// Whether all changes up to an update have been received.
    enum class completeness : uint8_t {
        Complete,
        /// An earlier update was lost, so the sender has to be asked for the changes since its position.
        Gap,
        /// The update names a server of which no record, or another one than the sender's, has been received. So the
        /// sender has to be asked for all.
        UnknownServer,
    };

    /// What an update changed.
    struct changes {
        /// Identifiers of servers that were added or changed by more than a renewal.
        std::vector<std::string> changed;
        /// Flow tokens of servers whose liveness changed by more than the renewal of a lease.
        std::vector<std::pair<uint32_t, server_liveness>> renewed;
        /// Identifiers of servers whose address was taken over by another server, or that have it back.
        std::vector<std::string> displaced;
        completeness isComplete = completeness::Complete;
    };

    /// Merges an update from the control host `sender`.
    changes apply(ip_endpoint const& sender, directory_update const& update, monotonic_time now);

    /// Merges a page that the control host `sender` sent. The positions of a directory that is sent in pages are set
    /// after the last one.
    changes apply(ip_endpoint const& sender, directory_page const& page, monotonic_time now);

    /// Records that the directory of a control host has been received from it up to this position.
    void setPosition(feed_position const& received);
    /// The same for a directory that another host has sent. It does not replace the position in another epoch, because
    /// that other host may not know the current one yet.
    void setForwardedPosition(feed_position const& received);

    /// Replaces the services that the configuration names.
    changes setServices(std::set<std::string> services, monotonic_time now);

    /// Applies what depends on the time since servers were last seen. Called about once a second.
    changes reevaluate(monotonic_time now);

    /// Removes expired entries.
    /// @return The identifiers of the removed servers.
    std::vector<std::string> expire(monotonic_time now);

    position positionOf(ip_endpoint const& sender) const;
    /// @return When the server was last known to be alive; an empty value for an unknown one.
    server_liveness livenessOf(std::string const& id) const;
    /// @return Whether the server announces itself to the current incarnation of this control host.
    bool isAnnouncer(ip_endpoint const& controlHost, uint32_t token) const;
    /// @return Identifier of the server with the flow token, or nullptr.
    std::string const* findId(uint32_t token) const;
    backend_directory const& directory() const { return m_directory; }

    /// @return All servers for a directory page. Their announcers are added to `positions`.
    std::vector<page_record> records(std::vector<feed_position>& positions, monotonic_time now) const;

    /// @return The control host that the server announces itself to; nullptr if it is unknown.
    ip_endpoint const* announcerOf(uint32_t token) const;

private:
    struct announcer_feed {
        position received;
        /// Lease of the incarnation with the epoch of `leaseEpoch`.
        std::shared_ptr<announcer_lease> lease;
        uint64_t leaseEpoch = 0;
    };
    struct tracked_server {
        std::string id;
        /// Lease of the control host that the server announces itself to; null for one that sends no leases.
        std::shared_ptr<announcer_lease> announcer;
        bool isLate = false;
        monotonic_time lastSeenAt;

        server_liveness liveness() const { return { lastSeenAt, isLate ? nullptr : announcer, isLate }; }
    };

    /// A record as it was received.
    struct received_record {
        backend_announcement announcement;
        monotonic_time lastSeenAt;
        std::shared_ptr<announcer_lease> announcer;
        bool isLate = false;
    };

    static std::shared_ptr<announcer_lease> leaseOf(announcer_feed& feed, uint64_t epoch);
    /// @return Whether the record says more about the liveness of the server than what is known. A control host may
    ///     send a record long after the server has begun to announce itself to another one.
    static bool isLaterThan(received_record const& record, tracked_server const& server);
    void applyRecord(received_record const& record, monotonic_time now, changes& result);
    void applyDeferredRecords(monotonic_time now, changes& result);
    void applyRenewals(directory_update const& update, announcer_feed& feed, monotonic_time now, changes& result);
    /// @return Whether the sender renews the record that this host has. A restored record may be older.
    bool isRenewalOf(directory_update const& update, size_t index, std::string const& id) const;
    /// @return Whether the update contains the record that the sender renews. If this host has another one after it has
    ///     applied the update, it is a later one, and the sender has nothing that is missing here.
    static bool containsRenewed(directory_update const& update, size_t index);
    void applyLateServers(directory_update const& update, announcer_feed& feed, monotonic_time now, changes& result);
    /// Updates the directory's own time of a server, so that its timeouts count from the latest lease.
    void refresh(std::string const& id);
    void refreshClaimants(ip_endpoint const& address);
    /// Derives again who has the server's address, after its liveness has changed.
    void reevaluateAddressOf(std::string const& id);

    backend_directory m_directory;
    std::map<ip_endpoint, announcer_feed> m_feeds;
    std::unordered_map<uint32_t, tracked_server> m_servers;
    /// Records that the directory has deferred, by the identifier of the server.
    std::map<std::string, received_record> m_deferred;
};

} // namespace bilberryyard
