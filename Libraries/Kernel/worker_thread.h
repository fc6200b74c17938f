#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace bilberryyard {

/// A thread for one duty. It runs until it is asked to stop, and is joined on destruction.
class worker_thread {
public:
    /// Starts the thread.
    /// @param name Name of the duty, shown by debuggers; cut to 15 characters by the kernel.
    /// @param duty Function to run; it returns soon after the token asks for a stop.
    worker_thread(std::string const& name, std::function<void(std::stop_token)> duty);

    /// Asks the duty to stop without waiting for it.
    void requestStop() { m_thread.request_stop(); }

private:
    std::jthread m_thread;
};

} // namespace bilberryyard
