#pragma once

#include <Base/error_kind.h>
#include <Configuration/configuration_state_machine.h>
#include <OperatorInterface/configuration_backend.h>
#include <atomic>
#include <latch>
#include <map>
#include <mutex>
#include <optional>

namespace bilberryyard::test {

/// A replicated log with a single member in memory, with fault injection.
class memory_backend {
public:
    absl::StatusOr<command_result> propose(configuration_command const& command)
    {
        ++m_startedProposals;
        if (auto* release = m_release.load())
            release->wait();
        std::lock_guard const lock(m_mutex);
        if (m_proposeError)
            return makeError(*m_proposeError, "injected");
        ++m_appliedProposals;
        return m_machine.apply(command.encode());
    }

    absl::StatusOr<configuration_reading> read()
    {
        std::lock_guard const lock(m_mutex);
        auto const current = m_machine.current();
        return configuration_reading { current.revision, current.value, m_consistency,
            std::chrono::milliseconds(1500) };
    }

    absl::StatusOr<audit_page> audit(audit_query const& query)
    {
        std::lock_guard const lock(m_mutex);
        return m_machine.audit(query);
    }

    absl::StatusOr<std::vector<host_status>> status()
    {
        return std::vector<host_status> {
            { host_id { 1 }, "zone-a", { "balancer", "control" }, "leader", 7, std::chrono::milliseconds(20) },
            { host_id { 2 }, "zone-b", { "balancer" }, "not heard from", std::nullopt, std::chrono::seconds(9) },
        };
    }

    absl::StatusOr<std::vector<control_member>> members()
    {
        std::lock_guard const lock(m_mutex);
        std::vector<control_member> list;
        for (auto const& [host, member] : m_members)
            list.push_back(member);
        return list;
    }

    absl::Status changeMembers(member_change const& change)
    {
        std::lock_guard const lock(m_mutex);
        if (change.kind == member_change_kind::Add)
            m_members[change.member.host] = change.member;
        else
            m_members.erase(change.member.host);
        return absl::OkStatus();
    }

    /// Blocks proposals until the latch is released. The latch must outlive the blocked proposals.
    void holdProposals(std::latch* release) { m_release = release; }
    int startedProposals() const { return m_startedProposals; }

    void failProposals(std::optional<error_kind> error)
    {
        std::lock_guard const lock(m_mutex);
        m_proposeError = error;
    }

    void setConsistency(read_consistency consistency)
    {
        std::lock_guard const lock(m_mutex);
        m_consistency = consistency;
    }

    std::string snapshot() const
    {
        std::lock_guard const lock(m_mutex);
        return m_machine.snapshot();
    }

    uint64_t revision() const
    {
        std::lock_guard const lock(m_mutex);
        return m_machine.current().revision;
    }

    int appliedProposals() const
    {
        std::lock_guard const lock(m_mutex);
        return m_appliedProposals;
    }

private:
    mutable std::mutex m_mutex;
    configuration_state_machine m_machine;
    std::map<host_id, control_member> m_members;
    std::optional<error_kind> m_proposeError;
    read_consistency m_consistency = read_consistency::Current;
    int m_appliedProposals = 0;
    std::atomic<std::latch*> m_release { nullptr };
    std::atomic<int> m_startedProposals { 0 };
};

static_assert(configuration_backend<memory_backend>);

inline wall_time fixedTime() { return wall_time(std::chrono::milliseconds(1769846400250)); }

} // namespace bilberryyard::test
