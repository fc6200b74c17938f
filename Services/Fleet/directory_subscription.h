#pragma once

#include "directory_fetch.h"
#include "directory_view.h"

#include <functional>
#include <map>
#include <string>

namespace bilberryyard {

/// The receiving side of the directories of all control hosts: merges their updates, and requests what was lost.
class directory_subscription {
public:
    using sender = std::function<void(ip_endpoint const& receiver, fleet_message const& message)>;

    /// @param zone The local availability zone, whose servers are requested first.
    directory_subscription(std::string zone, sender send);

    /// Merges an update; requests the missing changes if an earlier one was lost.
    directory_view::changes apply(ip_endpoint const& source, directory_update const& update, monotonic_time now);

    /// Merges a page. Pages of the scope All are requested by the caller, the others by this object.
    directory_view::changes apply(ip_endpoint const& source, directory_page const& page, monotonic_time now);

    /// Whether lost updates are requested.
    enum class recovery : uint8_t {
        Enabled,
        /// The caller is fetching the directories of all control hosts, after which few changes will be missing.
        Disabled,
    };
    void setRecovery(recovery mode) { m_recovery = mode; }

    /// Repeats requests without a response.
    void step(monotonic_time now);
    /// @return When to call step() next; the maximum if there are no requests.
    monotonic_time nextDeadline() const;

    /// Sets the positions of directories that have been received completely through another host.
    void setForwardedPositions(std::vector<feed_position> const& positions);

    directory_view& view() { return m_view; }
    directory_view const& view() const { return m_view; }

private:
    void request(ip_endpoint const& source, known_records known, monotonic_time now);

    std::string m_zone;
    sender m_send;
    directory_view m_view;
    recovery m_recovery = recovery::Enabled;
    struct pending_request {
        directory_fetch fetch;
        monotonic_time sentAt;
    };
    std::map<ip_endpoint, pending_request> m_requests;
};

} // namespace bilberryyard
