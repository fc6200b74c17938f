#include <Trace/trace_reader.h>

#include <Base/error_kind.h>
#include <Trace/trace_file_format.h>
#include <array>

namespace bilberryyard {

namespace {

    uint32_t uint32At(std::array<char, traceRecordPrefix> const& bytes, size_t position)
    {
        uint32_t value = 0;
        for (size_t index = 0; index < 4; ++index)
            value = value << 8U | static_cast<uint8_t>(bytes[position + index]);
        return value;
    }

} // namespace

absl::StatusOr<trace_reader> trace_reader::create(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(error_kind::NotFound, "cannot open " + path);
    trace_reader reader(path, std::move(file));
    std::string magic(traceMagic.size(), '\0');
    reader.m_file.read(magic.data(), static_cast<std::streamsize>(magic.size()));
    if (!reader.m_file || magic != traceMagic)
        return reader.damagedFileError("not a trace file");
    reader.m_nextOffset = traceMagic.size();
    auto record = reader.readRecord();
    if (!record.ok())
        return record.status();
    auto* header = std::get_if<trace_header>(&*record);
    if (!header)
        return reader.damagedFileError("the first record is not a header");
    reader.m_header = std::move(*header);
    return reader;
}

trace_reader::trace_reader(std::string path, std::ifstream file)
    : m_path(std::move(path))
    , m_file(std::move(file))
{
}

absl::StatusOr<std::optional<trace_input>> trace_reader::next()
{
    if (m_ended)
        return std::nullopt;
    auto record = readRecord();
    if (!record.ok())
        return record.status();
    if (auto const* end = std::get_if<trace_end>(&*record)) {
        if (end->inputs != m_inputCount)
            return damagedFileError("the end record states " + std::to_string(end->inputs) + " inputs instead of "
                + std::to_string(m_inputCount));
        if (m_file.peek() != std::ifstream::traits_type::eof())
            return damagedFileError("bytes follow the end record");
        m_ended = true;
        return std::nullopt;
    }
    auto* input = std::get_if<trace_input>(&*record);
    if (!input)
        return damagedFileError("unexpected second header record");
    if (input->time < m_lastTime)
        return damagedFileError("an input has an earlier time than its predecessor");
    m_lastTime = input->time;
    ++m_inputCount;
    return std::move(*input);
}

absl::StatusOr<trace_record> trace_reader::readRecord()
{
    m_offset = m_nextOffset;
    std::array<char, traceRecordPrefix> prefix {};
    m_file.read(prefix.data(), prefix.size());
    if (!m_file)
        return damagedFileError("the file is truncated");
    auto const size = uint32At(prefix, 0);
    if (size > maximumTraceRecord)
        return damagedFileError("record length of " + std::to_string(size) + " bytes exceeds the maximum");
    std::string bytes(size, '\0');
    m_file.read(bytes.data(), static_cast<std::streamsize>(size));
    if (!m_file)
        return damagedFileError("the file is truncated");
    if (traceChecksum(bytes) != uint32At(prefix, 4))
        return damagedFileError("record checksum mismatch");
    m_nextOffset = m_offset + traceRecordPrefix + size;
    auto record = decodeTraceRecord(bytes);
    if (!record.ok())
        return damagedFileError(messageOf(record.status()));
    return record;
}

absl::Status trace_reader::damagedFileError(std::string const& what) const
{
    return makeError(error_kind::DataLoss, m_path + " is damaged at offset " + std::to_string(m_offset) + ": " + what);
}

} // namespace bilberryyard
