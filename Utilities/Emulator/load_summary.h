#pragma once

#include "emulated_caller.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// Totals of a load run, with a readable summary.
class load_summary {
public:
    /// Counts one ended caller.
    void add(emulated_caller const& caller);

    /// @return Callers with this outcome.
    uint64_t count(caller_outcome outcome) const { return m_outcomes[static_cast<size_t>(outcome)]; }

    /// @return Flows that were established and did not get their whole answer from the right service.
    uint64_t brokenFlows() const;

    /// Largest share of a server over the mean share of its service's servers.
    /// @param service Name of the service.
    double imbalance(std::string const& service) const;

    /// @return A summary for people: flows, answers, broken flows, share of each server.
    std::string toText() const;

private:
    std::array<uint64_t, static_cast<size_t>(caller_outcome::WrongService) + 1> m_outcomes {};
    std::map<std::string, std::map<std::string, uint64_t>> m_flowsByServer;
    std::vector<double> m_answerMilliseconds;
    uint64_t m_flows = 0;
    uint64_t m_retransmissions = 0;
    uint64_t m_feedUpdates = 0;
};

} // namespace bilberryyard
