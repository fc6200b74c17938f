#pragma once

#include <ControlMessages/control_message.h>
#include <ostream>
#include <string>
#include <vector>

namespace bilberryyard::samples {

/// A sample message, with a name for the output of a failed test.
struct named_control_message {
    std::string name;
    control_message message;
};

inline std::ostream& operator<<(std::ostream& stream, named_control_message const& value)
{
    return stream << value.name;
}

/// @return At least one message of each type.
inline std::vector<named_control_message> controlMessages()
{
    auto const members = *cluster_configuration::create(
        { { member_id { 1 }, member_role::Voter, "one" }, { member_id { 2 }, member_role::Learner, "two" } });
    std::vector<std::pair<std::string, decltype(consensus_message::body)>> const bodies {
        { "pre-vote request", vote_request { vote_phase::PreVote, election_cause::Timeout, 5, 100, 4 } },
        { "vote request", vote_request { vote_phase::Vote, election_cause::Transfer, UINT64_MAX, 0, 0 } },
        { "vote response", vote_response { vote_phase::PreVote, 5, vote_decision::Granted } },
        { "append request",
            append_request { 99, 4, 98, -5,
                { { 4, 100, entry_kind::Application, std::string("\0\xff", 2) }, { 5, 101, entry_kind::Barrier, "" },
                    { 5, 102, entry_kind::Configuration, members.encode() } } } },
        { "heartbeat", append_request { 99, 4, 98, INT64_MAX, {} } },
        { "append response", append_response { append_outcome::Mismatch, INT64_MIN, 1, 2, 3, 4 } },
        { "snapshot chunk", snapshot_chunk { 50, 3, members, 77, 1000, 500, std::string(300, '\x80') } },
        { "snapshot response", snapshot_response { 50, 77, 800 } },
        { "timeout now", timeout_now {} },
        { "removal notice", removal_notice {} },
    };
    std::vector<named_control_message> result;
    for (auto const& [name, body] : bodies)
        result.push_back({ name,
            { host_id { 7 }, consensus_message { 0x1122334455667788, member_id { 1 }, member_id { 2 }, 5, body } } });
    host_report const report { "north", 12, "leader",
        { { host_id { 1 }, "north", 12, 1, std::chrono::milliseconds { 250 } },
            { host_id { 2 }, "", 0, 0, std::chrono::hours { 24 } } } };
    result.push_back({ "invitation", { host_id { 7 }, join_invitation {} } });
    result.push_back({ "offer", { host_id { 7 }, join_offer { UINT64_MAX } } });
    result.push_back({ "identity", { host_id { 7 }, join_identity { { 8, member_id { 3 } }, 9 } } });
    result.push_back({ "report", { host_id { 7 }, report } });
    return result;
}

} // namespace bilberryyard::samples
