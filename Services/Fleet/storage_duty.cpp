#include "storage_duty.h"

namespace bilberryyard {

storage_duty::storage_duty(storage_type storage, wake_signal const& wake)
    : m_storage(std::move(storage))
    , m_wake(wake)
    , m_thread("storage", [this](std::stop_token const& token) { run(token); })
{
}

void storage_duty::submit(persist_request request)
{
    {
        std::lock_guard const lock(m_mutex);
        m_request = std::move(request);
    }
    m_submitted.notify_one();
}

void storage_duty::run(std::stop_token const& stopToken)
{
    while (true) {
        std::optional<persist_request> request;
        {
            std::unique_lock lock(m_mutex);
            if (!m_submitted.wait(lock, stopToken, [this] { return m_request.has_value(); }))
                return;
            request = std::exchange(m_request, std::nullopt);
        }
        auto const status = m_storage.execute(*request);
        m_completions.push({ request->sequence, status });
        m_wake.raise();
    }
}

} // namespace bilberryyard
