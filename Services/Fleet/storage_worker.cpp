#include "storage_worker.h"

#include <Base/error_kind.h>

namespace bilberryyard {

storage_worker::storage_worker(storage_type storage, wake_signal const& wake, std::string folder)
    : m_storage(std::move(storage))
    , m_wake(wake)
    , m_folder(std::move(folder))
    , m_thread("storage", [this](std::stop_token const& token) { run(token); })
{
}

void storage_worker::submit(persist_request request)
{
    {
        std::lock_guard const lock(m_mutex);
        m_pendingRequest = std::move(request);
    }
    m_submitted.notify_one();
}

void storage_worker::saveFile(std::string const& name, std::string bytes)
{
    {
        std::lock_guard const lock(m_mutex);
        m_pendingFiles[name] = std::move(bytes);
    }
    m_submitted.notify_one();
}

void storage_worker::write(std::string const& name, std::string const& bytes)
{
    posix_file_system files;
    if (auto const status = replaceFile(files, m_folder, name, bytes); !status.ok())
        m_logger.emit(events::configurationNotSaved, messageOf(status));
}

void storage_worker::run(std::stop_token const& stopToken)
{
    while (true) {
        std::optional<persist_request> request;
        std::map<std::string, std::string>::node_type file;
        {
            std::unique_lock lock(m_mutex);
            if (!m_submitted.wait(lock, stopToken, [this] { return m_pendingRequest || !m_pendingFiles.empty(); }))
                return;
            request = std::exchange(m_pendingRequest, std::nullopt);
            if (!request)
                file = m_pendingFiles.extract(m_pendingFiles.begin());
        }
        if (!request) {
            write(file.key(), file.mapped());
            continue;
        }
        auto const status = m_storage.execute(*request);
        m_completions.push({ request->sequence, status });
        m_wake.raise();
    }
}

} // namespace bilberryyard
