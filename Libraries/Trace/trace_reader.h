#pragma once

#include <Trace/trace_codec.h>
#include <absl/status/statusor.h>
#include <fstream>
#include <optional>
#include <string>

namespace bilberryyard {

/// Reads a trace file one record at a time.
class trace_reader {
public:
    /// @return The reader; NotFound when the file cannot be opened; DataLoss with the offset when the file is not a
    ///     trace, is damaged or ends within its header.
    static absl::StatusOr<trace_reader> create(std::string const& path);

    trace_header const& header() const { return m_header; }

    /// @return The next input, or nothing after the last one; DataLoss with the offset when the file is damaged or
    ///     truncated.
    absl::StatusOr<std::optional<trace_input>> next();

private:
    trace_reader(std::string path, std::ifstream file);
    absl::StatusOr<trace_record> readRecord();
    absl::Status damagedFileError(std::string const& what) const;

    std::string m_path;
    std::ifstream m_file;
    /// Offset of the record that was read last.
    uint64_t m_offset = 0;
    uint64_t m_nextOffset = 0;
    trace_header m_header;
    duration m_lastTime {};
    uint64_t m_inputCount = 0;
    bool m_ended = false;
};

} // namespace bilberryyard
