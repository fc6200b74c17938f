#pragma once

#include <Trace/trace_codec.h>
#include <absl/status/statusor.h>
#include <fstream>
#include <string>

namespace bilberryyard {

/// Writes a trace file: the eight bytes "BYTRACE1", then records. A record consists of a 4-byte length and a 4-byte
/// checksum (lower half of xxHash64), both in network byte order, and the encoded message. The first record is the
/// header and the last one the end record.
class trace_writer {
public:
    /// @param path File to write; an existing one is replaced.
    /// @return The writer, or Unavailable when the file cannot be written.
    static absl::StatusOr<trace_writer> create(std::string const& path, trace_header const& header);

    /// @param input Must not have an earlier time than its predecessor.
    /// @return InvalidArgument for an input with an earlier time, Unavailable for a write error.
    absl::Status write(trace_input const& input);

    /// Writes the end record and closes the file.
    /// @return Unavailable for a write error.
    absl::Status finish();

private:
    trace_writer(std::string path, std::ofstream file);
    absl::Status writeRecord(trace_record const& record);

    std::string m_path;
    std::ofstream m_file;
    duration m_lastTime {};
    uint64_t m_inputCount = 0;
};

} // namespace bilberryyard
