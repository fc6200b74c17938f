#pragma once

#include <Base/event_logger.h>
#include <Consensus/member_storage.h>
#include <Consensus/posix_file_system.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/wake_signal.h>
#include <Kernel/worker_thread.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace bilberryyard {

/// Writes the replicated log on a worker thread, so that a slow or unresponsive disk does not delay heartbeats and
/// announcements.
class storage_worker {
public:
    using storage_type = member_storage<posix_file_system>;

    struct completion {
        uint64_t sequence = 0;
        absl::Status status;
    };

    /// @param storage The storage, opened in `folder`.
    /// @param wake Raised when a request is complete; must outlive this object.
    /// @param folder Path of the data folder.
    storage_worker(storage_type storage, wake_signal const& wake, std::string folder);

    /// Queues a request of a consensus_member; at most one may be outstanding.
    void submit(persist_request request);

    /// Queues the replacement of a file in the data folder. Persist requests have priority. Only for data that speeds
    /// up a restart and may be lost, since a failure is only logged.
    void saveFile(std::string const& name, std::string bytes);

    /// @return The result of the outstanding request when it is complete; each result is returned once.
    std::optional<completion> pollCompletion() { return m_completions.pop(); }

private:
    void run(std::stop_token const& stopToken);
    void write(std::string const& name, std::string const& bytes);

    storage_type m_storage;
    wake_signal const& m_wake;
    std::mutex m_mutex;
    std::condition_variable_any m_submitted;
    std::optional<persist_request> m_pendingRequest;
    std::map<std::string, std::string> m_pendingFiles;
    std::string m_folder;
    event_logger m_logger { "storage" };
    bounded_mailbox<completion> m_completions { 4 };
    worker_thread m_thread;
};

} // namespace bilberryyard
