#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace bilberryyard {

/// A thread that runs one function. On destruction a stop is requested and the thread is joined.
class worker_thread {
public:
    /// Starts the thread.
    /// @param name Thread name that debuggers show; truncated to 15 characters.
    /// @param threadFunction Must return soon after a stop is requested through its token.
    worker_thread(std::string const& name, std::function<void(std::stop_token)> threadFunction);

    /// Requests a stop without waiting for the function to return.
    void requestStop() { m_thread.request_stop(); }

private:
    std::jthread m_thread;
};

} // namespace bilberryyard
