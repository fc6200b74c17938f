#include "control_backend.h"

#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    // Longer than an election, so that a change that is proposed during an election still gets its result.
    constexpr std::chrono::seconds resultTimeout { 4 };
    constexpr std::chrono::seconds membershipTimeout { 8 };

    template <typename Result>
    absl::StatusOr<Result> wait(std::future<absl::StatusOr<Result>>& future, std::chrono::seconds timeout)
    {
        if (future.wait_for(timeout) != std::future_status::ready)
            return makeError(error_kind::DeadlineExceeded, "the request timed out; it may have been executed");
        return future.get();
    }

    /// Starts a request on the control thread and waits for its result.
    template <typename Result, typename Start>
    absl::StatusOr<Result> runAndWait(control_worker& worker, std::chrono::seconds timeout, Start start)
    {
        auto const promise = std::make_shared<std::promise<absl::StatusOr<Result>>>();
        auto future = promise->get_future();
        if (!worker.post([start, promise](control_worker& target) { start(target, promise); }))
            return makeError(error_kind::ResourceExhausted,
                "the task queue of the control thread is full; the request was not executed");
        return wait(future, timeout);
    }

} // namespace

absl::StatusOr<command_result> control_backend::propose(configuration_command const& command)
{
    return runAndWait<command_result>(m_worker, resultTimeout,
        [command](control_worker& worker, auto const& promise) { worker.propose(command, promise); });
}

absl::StatusOr<configuration_reading> control_backend::read()
{
    return runAndWait<configuration_reading>(
        m_worker, resultTimeout, [](control_worker& worker, auto const& promise) { worker.read(promise); });
}

absl::StatusOr<audit_page> control_backend::audit(audit_query const& query)
{
    return runAndWait<audit_page>(m_worker, resultTimeout,
        [query](control_worker& worker, auto const& promise) { promise->set_value(worker.audit(query)); });
}

absl::StatusOr<std::vector<host_status>> control_backend::status()
{
    return runAndWait<std::vector<host_status>>(m_worker, resultTimeout,
        [](control_worker& worker, auto const& promise) { promise->set_value(worker.status()); });
}

absl::StatusOr<std::vector<control_member>> control_backend::members()
{
    return runAndWait<std::vector<control_member>>(m_worker, resultTimeout,
        [](control_worker& worker, auto const& promise) { promise->set_value(worker.members()); });
}

absl::Status control_backend::changeMembers(member_change const& change)
{
    return runAndWait<bool>(m_worker, membershipTimeout, [change](control_worker& worker, auto const& promise) {
        worker.changeMembers(change, promise);
    }).status();
}

} // namespace bilberryyard
