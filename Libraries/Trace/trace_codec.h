#pragma once

#include <Trace/trace_header.h>
#include <Trace/trace_input.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace bilberryyard {

/// Last record of a trace; without it the trace was cut off.
struct trace_end {
    uint64_t inputs = 0;
    auto operator<=>(trace_end const&) const = default;
};

using trace_record = std::variant<trace_header, trace_input, trace_end>;

/// @param record A record.
/// @return Its bytes.
std::string encodeTraceRecord(trace_record const& record);

/// @param bytes Bytes of encodeTraceRecord().
/// @return The record, or InvalidArgument that names what is wrong.
absl::StatusOr<trace_record> decodeTraceRecord(std::string_view bytes);

} // namespace bilberryyard
