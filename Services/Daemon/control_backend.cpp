#include "control_backend.h"

#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    // Longer than an election, so that a change that is proposed during one is answered.
    constexpr std::chrono::seconds answerTimeout { 4 };
    constexpr std::chrono::seconds membershipTimeout { 8 };

    template <typename Result>
    absl::StatusOr<Result> wait(std::future<absl::StatusOr<Result>>& future, std::chrono::seconds timeout)
    {
        if (future.wait_for(timeout) != std::future_status::ready)
            return makeError(error_kind::DeadlineExceeded, "no result in time; the outcome is not known");
        return future.get();
    }

    /// Starts a request on the control thread and waits for its answer.
    template <typename Result, typename Start>
    absl::StatusOr<Result> ask(control_worker& duty, std::chrono::seconds timeout, Start start)
    {
        auto const promise = std::make_shared<std::promise<absl::StatusOr<Result>>>();
        auto future = promise->get_future();
        if (!duty.post([start, promise](control_worker& target) { start(target, promise); }))
            return makeError(error_kind::ResourceExhausted, "the control thread is overloaded; nothing was proposed");
        return wait(future, timeout);
    }

} // namespace

absl::StatusOr<command_result> control_backend::propose(configuration_command const& command)
{
    return ask<command_result>(m_duty, answerTimeout,
        [command](control_worker& duty, auto const& promise) { duty.propose(command, promise); });
}

absl::StatusOr<configuration_reading> control_backend::read()
{
    return ask<configuration_reading>(
        m_duty, answerTimeout, [](control_worker& duty, auto const& promise) { duty.read(promise); });
}

absl::StatusOr<audit_page> control_backend::audit(audit_query const& query)
{
    return ask<audit_page>(m_duty, answerTimeout,
        [query](control_worker& duty, auto const& promise) { promise->set_value(duty.audit(query)); });
}

absl::StatusOr<std::vector<host_status>> control_backend::status()
{
    return ask<std::vector<host_status>>(
        m_duty, answerTimeout, [](control_worker& duty, auto const& promise) { promise->set_value(duty.status()); });
}

absl::StatusOr<std::vector<control_member>> control_backend::members()
{
    return ask<std::vector<control_member>>(
        m_duty, answerTimeout, [](control_worker& duty, auto const& promise) { promise->set_value(duty.members()); });
}

absl::Status control_backend::changeMembers(member_change const& change)
{
    return ask<bool>(m_duty, membershipTimeout, [change](control_worker& duty, auto const& promise) {
        duty.changeMembers(change, promise);
    }).status();
}

} // namespace bilberryyard
