#include <Kernel/worker_thread.h>

#include <pthread.h>
#include <utility>

namespace bilberryyard {

worker_thread::worker_thread(std::string const& name, std::function<void(std::stop_token)> duty)
    : m_thread([name, duty = std::move(duty)](std::stop_token const& stopToken) {
        // The kernel limits thread names to 15 characters (pthread_setname_np(3)).
        pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
        duty(stopToken);
    })
{
}

} // namespace bilberryyard
