#pragma once

#include <Trace/trace_codec.h>
#include <absl/status/statusor.h>
#include <fstream>
#include <string>

namespace bilberryyard {

/// Writes a trace file: eight bytes "BYTRACE1", then records of a 4-byte length, a 4-byte checksum (low half of
/// xxHash64) in network byte order, and the message. The header comes first and an end record last.
class trace_writer {
public:
    /// @param path The file; an existing one is replaced.
    /// @param header The header.
    /// @return The writer, or Unavailable when the file cannot be written.
    static absl::StatusOr<trace_writer> create(std::string const& path, trace_header const& header);

    /// @param input The next input; times never decrease.
    /// @return InvalidArgument for an input before its predecessor, Unavailable for a write error.
    absl::Status write(trace_input const& input);

    /// Writes the end record and closes the file.
    /// @return Unavailable for a write error.
    absl::Status finish();

private:
    trace_writer(std::string path, std::ofstream file);
    absl::Status writeRecord(trace_record const& record);

    std::string m_path;
    std::ofstream m_file;
    duration m_last {};
    uint64_t m_inputs = 0;
};

} // namespace bilberryyard
