#pragma once

#include <Trace/trace_header.h>
#include <Trace/trace_input.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace bilberryyard {

/// Last record of a trace. A trace without it is truncated.
struct trace_end {
    /// Number of input records in the trace.
    uint64_t inputs = 0;
    auto operator<=>(trace_end const&) const = default;
};

using trace_record = std::variant<trace_header, trace_input, trace_end>;

/// @return The record as a protobuf message.
std::string encodeTraceRecord(trace_record const& record);

/// Decodes a record that encodeTraceRecord() encoded.
/// @return The record, or InvalidArgument with the cause.
absl::StatusOr<trace_record> decodeTraceRecord(std::string_view bytes);

} // namespace bilberryyard
