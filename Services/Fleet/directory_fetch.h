#pragma once

#include <Base/monotonic_time.h>
#include <Fleet/fleet_message.h>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Receives a directory in pages. One page is requested at a time, which adapts the rate to the link, and a page that
/// does not arrive is requested again, from another host if the caller chooses one.
class directory_fetch {
public:
    /// Time after which a page is requested again. A page takes 13 ms on a link of 5 Mbit/s.
    static constexpr duration pageTimeout = std::chrono::milliseconds(150);

    /// @param request Its cursor is the start of the directory.
    explicit directory_fetch(directory_request request);

    /// @return Whether a request should be sent now.
    bool isDue(monotonic_time now) const { return !isComplete() && now >= m_nextRequestAt; }
    monotonic_time nextRequestAt() const { return m_nextRequestAt; }
    /// Records that the request is sent.
    /// @return The request for the first page that has not been received.
    directory_request const& nextRequest(monotonic_time now);

    /// @return Whether the page is the requested one, so that the next one is due at once. The records of any page may
    ///     be used.
    bool accept(directory_page const& page);

    bool isComplete() const { return m_isComplete; }
    /// @return Number of requests without a page since the last page.
    int requestsSincePage() const { return m_requestsSincePage; }
    bool hasPages() const { return m_hasPages; }
    /// @return Positions that all received pages include. If pages came from several hosts, the earliest position of
    ///     each directory.
    std::vector<feed_position> const& positions() const { return m_positions; }

private:
    void mergePositions(std::vector<feed_position> const& positions);

    directory_request m_request;
    monotonic_time m_nextRequestAt;
    int m_requestsSincePage = 0;
    bool m_hasPages = false;
    bool m_isComplete = false;
    std::vector<feed_position> m_positions;
};

} // namespace bilberryyard
