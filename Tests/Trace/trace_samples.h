#pragma once

#include <Trace/trace_reader.h>
#include <Trace/trace_writer.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace bilberryyard::test {

inline std::string temporaryPath(std::string const& name)
{
    return (std::filesystem::temp_directory_path() / (name + "." + std::to_string(::getpid()))).string();
}

inline trace_header sampleHeader()
{
    trace_header header;
    header.name = "sample";
    header.deployment = "test";
    header.seed = 7;
    header.zones = { { zone_id { 1 }, "one" } };
    header.entryHosts = { { host_id { 1 }, zone_id { 1 } } };
    header.length = std::chrono::seconds { 9 };
    return header;
}

/// One input of each kind.
inline std::vector<trace_input> sampleInputs()
{
    using std::chrono::milliseconds;
    server_announcement announcement;
    announcement.key = { service_id { 1 }, ip_address::fromIpv4(0x0a000001), 6080 };
    announcement.state = server_state::Draining;
    announcement.load = { 1, 2, 3 };
    relay_header relay;
    relay.sender = host_id { 3 };
    return {
        { milliseconds { 1 },
            flow_burst {
                service_id { 1 }, "order", 3, milliseconds { 2 }, 4, milliseconds { 5 }, 6, milliseconds { 7 } } },
        { milliseconds { 1 }, packet_input { host_id { 1 }, { 1, 2, 3 }, relay } },
        { milliseconds { 2 }, announcement_input { host_id { 1 }, announcement } },
        { milliseconds { 3 }, server_event { 4, server_event_kind::Start, service_id { 1 }, zone_id { 1 }, 2, 2000 } },
        { milliseconds { 4 }, host_event { host_id { 1 }, host_event_kind::Suspend } },
        { milliseconds { 5 }, partition_event { { zone_id { 1 } } } },
        { milliseconds { 6 }, message_fault { host_id { 1 }, host_id { 2 }, 30, milliseconds { 8 } } },
        { milliseconds { 7 }, change_input { host_id { 1 }, "id", 2, "ana", "why", "zones: []" } },
        { milliseconds { 8 }, peer_message_input { host_id { 1 }, "bytes" } },
        { milliseconds { 9 }, configuration_input { host_id { 1 }, 5, "zones: []" } },
        { milliseconds { 10 }, dropped_inputs { 11 } },
    };
}

inline std::string contentOf(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline void writeContent(std::string const& path, std::string const& content)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

/// @return All inputs of a trace file, or the error of the first record that cannot be read.
inline absl::StatusOr<std::vector<trace_input>> readAll(std::string const& path)
{
    auto reader = trace_reader::create(path);
    if (!reader.ok())
        return reader.status();
    std::vector<trace_input> inputs;
    while (true) {
        auto input = reader->next();
        if (!input.ok())
            return input.status();
        if (!*input)
            return inputs;
        inputs.push_back(**input);
    }
}

} // namespace bilberryyard::test
