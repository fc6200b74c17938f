#pragma once

#include "emulated_caller.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// The totals of a run of the load generator.
class load_summary {
public:
    /// Counts one ended caller.
    void add(emulated_caller const& caller);

    /// @return Number of callers with this outcome.
    uint64_t count(caller_outcome outcome) const { return m_outcomes[static_cast<size_t>(outcome)]; }

    /// @return Number of flows that were established but did not receive their complete response from the right
    /// service.
    uint64_t brokenFlows() const;

    /// @return Largest number of flows on a server of the service, divided by the mean over its servers; 0 if none has
    /// flows.
    double imbalance(std::string const& service) const;

    /// @return A readable summary: flows by outcome, response times, flows of each server, broken flows.
    std::string toText() const;

private:
    std::array<uint64_t, static_cast<size_t>(caller_outcome::WrongService) + 1> m_outcomes {};
    std::map<std::string, std::map<std::string, uint64_t>> m_flowsByServer;
    std::vector<double> m_responseMilliseconds;
    uint64_t m_flows = 0;
    uint64_t m_retransmissions = 0;
    uint64_t m_feedUpdates = 0;
};

} // namespace bilberryyard
