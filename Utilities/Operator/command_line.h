#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/endpoint.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

enum class operation {
    ShowHelp,
    ShowVersion,
    Status,
    Get,
    Apply,
    CheckConfiguration,
    ExceptionAdd,
    ExceptionRemove,
    Explain,
    Audit,
    Drain,
    MemberList,
    MemberAdd,
    MemberRemove,
    Metrics,
};

enum class output_format {
    Text,
    Yaml,
};

/// The arguments shared by all commands that change the configuration or the members.
struct change_arguments {
    std::string requestId;
    std::string author;
    std::string reason;
    std::optional<uint64_t> base;
    bool dryRun = false;
    auto operator<=>(change_arguments const&) const = default;
};

/// The validated arguments of the program.
struct command_line {
    operation requestedOperation = operation::ShowHelp;
    std::vector<endpoint> endpoints;
    output_format output = output_format::Text;
    duration timeout = std::chrono::seconds(10);
    change_arguments change;

    /// Apply and check-configuration: path of the configuration file.
    std::string file;
    /// Check-configuration: path of the configuration to compare with, and whether to print JSON.
    std::string against;
    bool printsJson = false;
    /// Exceptions and drain: target, key and value.
    std::string target;
    std::string key;
    std::string value;
    /// Drain: whether to end draining.
    bool undo = false;
    std::string flow;
    /// Get: service and server whose settings are requested; empty for the whole configuration.
    std::string service;
    std::string server;
    bool allowStale = false;
    /// Audit: range as typed; the host validates it.
    std::string first;
    std::string last;
    std::string limit;
    /// Member: host identifier and addresses.
    std::string host;
    std::string peer;
    std::string distribution;
    auto operator<=>(command_line const&) const = default;

    /// Looks up an environment variable; returns an empty string if it is not set.
    using environment = std::function<std::string(std::string const&)>;

    /// @param arguments Arguments without the program name.
    /// @return The validated arguments; InvalidArgument if they are rejected.
    static absl::StatusOr<command_line> parse(
        std::vector<std::string> const& arguments, environment const& environment);

    /// @return The text of --help.
    static std::string_view usage();
};

} // namespace bilberryyard
