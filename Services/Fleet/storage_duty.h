#pragma once

#include <Consensus/member_storage.h>
#include <Consensus/posix_file_system.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/duty_thread.h>
#include <Kernel/wake_signal.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace bilberryyard {

/// Writes the replicated log on a thread of its own, so that heartbeats and announcements do not wait for a disk
/// that hangs.
class storage_duty {
public:
    using storage_type = member_storage<posix_file_system>;

    struct completion {
        uint64_t sequence = 0;
        absl::Status status;
    };

    /// @param storage The opened data folder.
    /// @param wake Raised when a request is complete; outlives this object.
    storage_duty(storage_type storage, wake_signal const& wake);

    /// Starts a request; at most one is outstanding.
    /// @param request From a consensus_member.
    void submit(persist_request request);

    /// @return The result of the request, once.
    std::optional<completion> takeCompletion() { return m_completions.pop(); }

private:
    void run(std::stop_token const& stopToken);

    storage_type m_storage;
    wake_signal const& m_wake;
    std::mutex m_mutex;
    std::condition_variable_any m_submitted;
    std::optional<persist_request> m_request;
    bounded_mailbox<completion> m_completions { 4 };
    duty_thread m_thread;
};

} // namespace bilberryyard
