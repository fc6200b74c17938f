#pragma once

#include <Consensus/consensus_member.h>
#include <Consensus/member_storage.h>
#include <Consensus/posix_file_system.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace bilberryyard {

/// Runs one member with real files on its own thread. Messages are delivered in memory, so that the measurements
/// include the protocol and the storage but no network.
class consensus_member_thread {
public:
    /// Delivers a message to another member; called on the thread of the sender.
    using transport = std::function<void(consensus_message const&)>;

    /// @param bootstrapConfiguration Bootstrap configuration of the cluster.
    /// @return The member, not yet started, or the error of its storage.
    static absl::StatusOr<std::unique_ptr<consensus_member_thread>> create(std::string const& folder,
        member_identity identity, cluster_configuration const& bootstrapConfiguration, transport send)
    {
        std::unique_ptr<consensus_member_thread> result(new consensus_member_thread(std::move(send)));
        auto storage = member_storage<posix_file_system>::create(result->m_files, folder, {});
        if (!storage.ok())
            return storage.status();
        if (auto status = storage->initialize(identity, bootstrapConfiguration); !status.ok())
            return status;
        auto member = consensus_member<>::create(
            identity, {}, storage->releaseRestoredState(), identity.member.value, std::chrono::steady_clock::now());
        if (!member.ok())
            return member.status();
        result->m_storage.emplace(*std::move(storage));
        result->m_member.emplace(*std::move(member));
        return result;
    }

    ~consensus_member_thread()
    {
        m_stopRequested = true;
        m_changed.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void deliver(consensus_message const& message)
    {
        {
            std::lock_guard const lock(m_mutex);
            m_inbox.push_back(message);
        }
        m_changed.notify_one();
    }

    /// Makes the member submit proposals while it is the leader.
    /// @param payload Payload of each proposal.
    /// @param window Maximum number of proposals in progress.
    /// @param total Number of proposals to submit.
    void load(std::string payload, size_t window, size_t total)
    {
        std::lock_guard const lock(m_mutex);
        m_payload = std::move(payload);
        m_window = window;
        m_remaining = total;
        m_latencies.clear();
    }

    bool isLeader() const { return m_isLeader; }

    /// @return The latencies of the proposals accepted since the last load().
    std::vector<duration> latencies() const
    {
        std::lock_guard const lock(m_mutex);
        return m_latencies;
    }

private:
    explicit consensus_member_thread(transport send)
        : m_send(std::move(send))
    {
    }

    void run()
    {
        while (!m_stopRequested) {
            std::vector<consensus_message> messages;
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait_until(lock, std::min(m_member->nextDeadline(), now() + std::chrono::milliseconds(20)),
                    [this] { return m_stopRequested || !m_inbox.empty(); });
                messages.swap(m_inbox);
            }
            for (auto const& message : messages)
                m_member->receive(message, now());
            // Actions can complete proposals, which makes room for further ones.
            do
                performActions();
            while (propose());
        }
    }

    /// @return Whether a proposal was submitted.
    bool propose()
    {
        auto proposed = false;
        m_isLeader = m_member->role() == consensus_role::Leader;
        std::lock_guard const lock(m_mutex);
        while (m_isLeader && m_remaining > 0 && m_proposedAt.size() < m_window) {
            --m_remaining;
            m_proposedAt.emplace(++m_token, now());
            m_member->propose(m_token, m_payload, now());
            proposed = true;
        }
        return proposed;
    }

    void performActions()
    {
        for (;;) {
            auto const actions = m_member->drainActions(now());
            if (actions.empty())
                return;
            for (auto const& action : actions) {
                if (auto const* message = std::get_if<send_message>(&action))
                    m_send(message->message);
                else if (auto const* request = std::get_if<persist_request>(&action))
                    persist(*request);
                else if (auto const* completed = std::get_if<proposal_result>(&action))
                    recordResult(*completed);
                else if (auto const* snapshot = std::get_if<take_snapshot>(&action))
                    static_cast<void>(m_member->snapshotTaken(snapshot->index, "state", now()));
            }
        }
    }

    void persist(persist_request const& request)
    {
        if (auto const status = m_storage->execute(request); !status.ok())
            m_member->persistFailed(status, now());
        else
            m_member->persistCompleted(request.sequence, now());
    }

    void recordResult(proposal_result const& completed)
    {
        std::lock_guard const lock(m_mutex);
        auto const proposal = m_proposedAt.find(completed.token);
        if (completed.outcome == proposal_outcome::Accepted)
            m_latencies.push_back(now() - proposal->second);
        m_proposedAt.erase(proposal);
    }

    static monotonic_time now() { return std::chrono::steady_clock::now(); }

    transport m_send;
    posix_file_system m_files;
    std::optional<member_storage<posix_file_system>> m_storage;
    std::optional<consensus_member<>> m_member;
    std::thread m_thread;
    std::atomic<bool> m_stopRequested = false;
    std::atomic<bool> m_isLeader = false;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<consensus_message> m_inbox;
    std::string m_payload;
    size_t m_window = 0;
    size_t m_remaining = 0;
    uint64_t m_token = 0;
    std::map<uint64_t, monotonic_time> m_proposedAt;
    std::vector<duration> m_latencies;
};

} // namespace bilberryyard
