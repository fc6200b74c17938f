#pragma once

#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// The timeouts and limits that apply to one service or server. The initial values are the defaults of
/// docs/design.md; docs/settings.md describes each setting.
struct effective_settings {
    uint32_t witnessCount = 3;
    uint32_t bucketCount = 4096;
    duration flowIdleTimeout = std::chrono::seconds(900);
    duration datagramIdleTimeout = std::chrono::seconds(30);
    /// Lease of a backend server's registration; renewed by each registration.
    duration lease = std::chrono::seconds(3);
    duration peerLease = std::chrono::milliseconds(1500);
    duration peerLossTimeout = std::chrono::seconds(2);
    uint32_t controlBytesPerSecond = 4096;

    uint32_t connectionLimit = 2000;
    uint32_t slots = 2;
    double connectionLimitWatermark = 0.9;
    double weight = 1.0;
    double reportWeightCap = 2.0;
    uint32_t coldStartSeconds = 10;

    duration retryAfter = std::chrono::seconds(1);
    double retryBudgetShare = 0.1;
    uint32_t retryBudgetMinimum = 10;

    uint32_t healthSampleInterval = 16;
    double ejectionFailureRatio = 0.5;
    uint32_t ejectionMinimumHandshakes = 8;
    duration ejectionWindow = std::chrono::seconds(5);
    double ejectionMaximumShare = 0.3;
    duration ejectionBackoffMinimum = std::chrono::seconds(5);
    duration ejectionBackoffMaximum = std::chrono::seconds(60);

    /// The server gets no new flows; set by `bilberryyard drain` as an exception on a server.
    bool drain = false;

    auto operator<=>(effective_settings const&) const = default;
};

} // namespace bilberryyard
