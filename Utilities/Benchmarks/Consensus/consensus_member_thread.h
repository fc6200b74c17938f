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

/// Runs one member with real files on its own thread. Messages are handed over in memory, so that figures show
/// the decisions and the storage without a network.
class consensus_member_thread {
public:
    /// Delivers a message to another member.
    using transport = std::function<void(consensus_message const&)>;

    /// @param folder The member's data folder.
    /// @param identity Its identity.
    /// @param founding Configuration of the cluster.
    /// @param send The transport.
    /// @return The stopped member, or the error of its storage.
    static absl::StatusOr<std::unique_ptr<consensus_member_thread>> create(
        std::string const& folder, member_identity identity, cluster_configuration const& founding, transport send)
    {
        std::unique_ptr<consensus_member_thread> result(new consensus_member_thread(std::move(send)));
        auto storage = member_storage<posix_file_system>::create(result->m_files, folder, {});
        if (!storage.ok())
            return storage.status();
        if (auto status = storage->initialize(identity, founding); !status.ok())
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
        m_stops = true;
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

    /// Lets the member propose whenever it leads.
    /// @param payload Payload of each proposal.
    /// @param window Proposals in progress at a time.
    /// @param total Proposals in all.
    void load(std::string payload, size_t window, size_t total)
    {
        std::lock_guard const lock(m_mutex);
        m_payload = std::move(payload);
        m_window = window;
        m_left = total;
        m_latencies.clear();
    }

    bool isLeader() const { return m_isLeader; }

    /// @return The latencies of the proposals accepted since load().
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
        while (!m_stops) {
            std::vector<consensus_message> messages;
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait_until(lock, std::min(m_member->nextDeadline(), now() + std::chrono::milliseconds(20)),
                    [this] { return m_stops || !m_inbox.empty(); });
                messages.swap(m_inbox);
            }
            for (auto const& message : messages)
                m_member->receive(message, now());
            // An accepted proposal makes room for the next one at once.
            do
                perform();
            while (propose());
        }
    }

    /// @return Whether something was proposed.
    bool propose()
    {
        auto proposed = false;
        m_isLeader = m_member->role() == consensus_role::Leader;
        std::lock_guard const lock(m_mutex);
        while (m_isLeader && m_left > 0 && m_started.size() < m_window) {
            --m_left;
            m_started.emplace(++m_token, now());
            m_member->propose(m_token, m_payload, now());
            proposed = true;
        }
        return proposed;
    }

    void perform()
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
                else if (auto const* answer = std::get_if<proposal_result>(&action))
                    record(*answer);
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

    void record(proposal_result const& answer)
    {
        std::lock_guard const lock(m_mutex);
        auto const started = m_started.find(answer.token);
        if (answer.outcome == proposal_outcome::Accepted)
            m_latencies.push_back(now() - started->second);
        m_started.erase(started);
    }

    static monotonic_time now() { return std::chrono::steady_clock::now(); }

    transport m_send;
    posix_file_system m_files;
    std::optional<member_storage<posix_file_system>> m_storage;
    std::optional<consensus_member<>> m_member;
    std::thread m_thread;
    std::atomic<bool> m_stops = false;
    std::atomic<bool> m_isLeader = false;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<consensus_message> m_inbox;
    std::string m_payload;
    size_t m_window = 0;
    size_t m_left = 0;
    uint64_t m_token = 0;
    std::map<uint64_t, monotonic_time> m_started;
    std::vector<duration> m_latencies;
};

} // namespace bilberryyard
