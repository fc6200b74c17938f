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

/// The arguments of a change.
struct change_arguments {
    std::string requestId;
    std::string author;
    std::string reason;
    std::optional<uint64_t> base;
    bool dryRun = false;
    auto operator<=>(change_arguments const&) const = default;
};

/// The checked arguments of the program.
struct command_line {
    operation what = operation::ShowHelp;
    std::vector<endpoint> endpoints;
    output_format output = output_format::Text;
    duration timeout = std::chrono::seconds(10);
    change_arguments change;

    /// Apply: the file.
    std::string file;
    /// Exceptions and drain: target, key and value.
    std::string target;
    std::string key;
    std::string value;
    /// Drain: whether to end draining.
    bool undo = false;
    std::string flow;
    /// Get: service and server whose settings are wanted.
    std::string service;
    std::string server;
    bool allowStale = false;
    /// Audit: range as typed.
    std::string first;
    std::string last;
    std::string limit;
    /// Member: host number and addresses.
    std::string host;
    std::string peer;
    std::string distribution;
    auto operator<=>(command_line const&) const = default;

    /// Looks up an environment variable; empty when it is not set.
    using environment = std::function<std::string(std::string const&)>;

    /// @param arguments Arguments without the program name.
    /// @param environment Environment variables.
    /// @return The checked arguments; InvalidArgument with the reason.
    static absl::StatusOr<command_line> parse(
        std::vector<std::string> const& arguments, environment const& environment);

    /// @return The text of --help.
    static std::string_view usage();
};

} // namespace bilberryyard
