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
    /// @param path The file.
    /// @return The reader; NotFound when the file cannot be opened, DataLoss with the offset for a file that is
    ///     no trace, is damaged or ends within its header.
    static absl::StatusOr<trace_reader> create(std::string const& path);

    trace_header const& header() const { return m_header; }

    /// @return The next input, nothing after the last one; DataLoss with the offset when the file is damaged
    ///     or was cut off.
    absl::StatusOr<std::optional<trace_input>> next();

private:
    trace_reader(std::string path, std::ifstream file);
    absl::StatusOr<trace_record> readRecord();
    absl::Status damage(std::string const& what) const;

    std::string m_path;
    std::ifstream m_file;
    /// Offset of the record that is read.
    uint64_t m_offset = 0;
    uint64_t m_nextOffset = 0;
    trace_header m_header;
    duration m_last {};
    uint64_t m_inputs = 0;
    bool m_ended = false;
};

} // namespace bilberryyard
