#pragma once

#include <Coordination/coordination_message.h>
#include <string>
#include <vector>

namespace bilberryyard::samples {

/// A message with a name that identifies it in the report of a failed test.
struct named_message {
    std::string name;
    coordination_message message;
};

inline std::ostream& operator<<(std::ostream& stream, named_message const& value) { return stream << value.name; }

inline routed_peer const sender { host_id { 3 }, 9 };

inline server_record record(char const* address)
{
    return { server_id { 0x00301001 },
        { { service_id { 1 }, *ip_address::parse(address), 6080 }, zone_id { 2 }, server_state::Draining, 2, 2000,
            { 1, 7, 321 }, 5 },
        { 5, 77, host_id { 3 } }, std::chrono::milliseconds { 1234 } };
}

inline witness_set witnesses()
{
    witness_set set;
    set.count = 2;
    set.groups[0].count = 2;
    set.groups[0].witnesses[0] = { host_id { 1 }, 4, witness_state::Complete };
    set.groups[0].witnesses[1] = { host_id { 2 }, 5, witness_state::Filling };
    set.groups[1].count = 1;
    set.groups[1].witnesses[0] = { host_id { 3 }, 9, witness_state::Complete };
    return set;
}

inline table_delta delta()
{
    table_delta value { service_id { 1 }, 42, {} };
    value.changes.push_back({ server_id { 7 }, server_id { 8 }, bucket_phase::Tracked, witnesses(),
        { 12, host_id { 1 } }, { 0, 1, 2, 3, 9, 10 } });
    value.changes.push_back(
        { server_id { 8 }, noServer, bucket_phase::Stable, {}, { 13, host_id { 2 } }, { 5, 12, 15 } });
    return value;
}

inline replicated_table table()
{
    table_lineage lineage;
    lineage.versions[{ host_id { 1 }, 4 }] = 42;
    lineage.versions[{ host_id { 2 }, 5 }] = 6;
    return { bucket_table(service_id { 1 }, 16).withDelta(delta()), lineage };
}

/// One message of each kind, and variants that are encoded differently.
inline std::vector<named_message> messages()
{
    peer_heartbeat heartbeat { sender, zone_id { 2 }, synchronisation::Synchronised, host_intent::Leaving,
        { host_id { 1 }, host_id { 2 } },
        { { host_id { 1 }, 4 }, { { service_id { 1 }, 42 }, { service_id { 2 }, 0 } } },
        { { service_id { 1 }, { 42, 0xfedcba9876543210 } } } };
    transfer_cursor const cursor { 5, UINT64_MAX };
    using body = coordination_message::body_type;
    std::vector<std::pair<std::string, body>> const bodies {
        { "heartbeat", heartbeat_message { heartbeat, 900 } },
        { "records", records_message { { record("192.0.2.1"), record("2001:db8::1") }, {} } },
        { "renewals", records_message { {}, { { server_id { 5 }, 78, { 2, 0, 322 } } } } },
        { "handshake statistics", handshake_statistics_message { { { server_id { 5 }, 10, 3, 7 } } } },
        { "delta", table_message { delta() } },
        { "empty delta", table_message { table_delta { service_id { 1 }, 43, {} } } },
        { "table request", table_message { table_request { service_id { 1 }, 8 } } },
        { "table snapshot", table_message { table_snapshot { table(), 8 } } },
        { "table offer", table_message { table_offer { table() } } },
        { "fill request, gaps", fill_request { service_id { 1 }, { 0, 7, 4095 }, {} } },
        { "fill request, runs", fill_request { service_id { 1 }, { 3, 4, 5, 6, 7, 20, 21, 22 }, cursor } },
        { "fill request, last bucket", fill_request { service_id { 1 }, { (1U << 20) - 1 }, cursor } },
        { "fill response",
            fill_response { service_id { 1 }, { 1, std::nullopt },
                { { { 1, server_id { 5 } }, { UINT64_MAX, server_id { 6 } }, { 3, server_id { 5 } } }, cursor,
                    true } } },
        { "settled report",
            table_message { settled_report { service_id { 1 }, sender, { 12, host_id { 1 } }, { 1, 2, 9 } } } },
        { "filled report", table_message { filled_report { service_id { 1 }, sender, { 1, 2, 9 } } } },
        { "leave permission", leave_permission {} },
    };
    std::vector<named_message> result;
    for (auto const& [name, value] : bodies)
        result.push_back({ name, { sender, value } });
    return result;
}

} // namespace bilberryyard::samples
