#include <Trace/trace_writer.h>

#include <Base/error_kind.h>
#include <Trace/trace_file_format.h>

namespace bilberryyard {

namespace {

    void appendUint32(std::string& output, uint32_t value)
    {
        for (int shift = 24; shift >= 0; shift -= 8)
            output.push_back(static_cast<char>(value >> shift & 0xffU));
    }

} // namespace

absl::StatusOr<trace_writer> trace_writer::create(std::string const& path, trace_header const& header)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    if (!file)
        return makeError(error_kind::Unavailable, "cannot write " + path);
    file << traceMagic;
    trace_writer writer(path, std::move(file));
    if (auto status = writer.writeRecord(header); !status.ok())
        return status;
    return writer;
}

trace_writer::trace_writer(std::string path, std::ofstream file)
    : m_path(std::move(path))
    , m_file(std::move(file))
{
}

absl::Status trace_writer::write(trace_input const& input)
{
    if (input.time < m_lastTime)
        return makeError(error_kind::InvalidArgument, "the input has an earlier time than its predecessor");
    m_lastTime = input.time;
    ++m_inputCount;
    return writeRecord(input);
}

absl::Status trace_writer::finish()
{
    if (auto status = writeRecord(trace_end { m_inputCount }); !status.ok())
        return status;
    m_file.close();
    return m_file ? absl::OkStatus() : makeError(error_kind::Unavailable, "cannot write " + m_path);
}

absl::Status trace_writer::writeRecord(trace_record const& record)
{
    auto const bytes = encodeTraceRecord(record);
    if (bytes.size() > maximumTraceRecord)
        return makeError(error_kind::InvalidArgument,
            "record length of " + std::to_string(bytes.size()) + " bytes exceeds the maximum");
    std::string prefix;
    appendUint32(prefix, static_cast<uint32_t>(bytes.size()));
    appendUint32(prefix, traceChecksum(bytes));
    m_file << prefix << bytes;
    return m_file ? absl::OkStatus() : makeError(error_kind::Unavailable, "cannot write " + m_path);
}

} // namespace bilberryyard
