#include <Kernel/worker_thread.h>

#include <pthread.h>
#include <utility>

namespace bilberryyard {

worker_thread::worker_thread(std::string const& name, std::function<void(std::stop_token)> threadFunction)
    : m_thread([name, threadFunction = std::move(threadFunction)](std::stop_token const& stopToken) {
        // The kernel limits thread names to 15 characters (pthread_setname_np(3)).
        pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
        threadFunction(stopToken);
    })
{
}

} // namespace bilberryyard
