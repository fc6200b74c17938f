#include <Trace/trace_reader.h>

#include <Base/error_kind.h>
#include <Trace/trace_file_format.h>
#include <array>

namespace bilberryyard {

namespace {

    uint32_t numberAt(std::array<char, traceRecordPrefix> const& bytes, size_t position)
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
        return reader.damage("is no trace");
    reader.m_nextOffset = traceMagic.size();
    auto record = reader.readRecord();
    if (!record.ok())
        return record.status();
    auto* header = std::get_if<trace_header>(&*record);
    if (!header)
        return reader.damage("the first record is no header");
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
        if (end->inputs != m_inputs)
            return damage("the end record counts " + std::to_string(end->inputs) + " inputs instead of "
                + std::to_string(m_inputs));
        if (m_file.peek() != std::ifstream::traits_type::eof())
            return damage("bytes follow the end record");
        m_ended = true;
        return std::nullopt;
    }
    auto* input = std::get_if<trace_input>(&*record);
    if (!input)
        return damage("a second header");
    if (input->time < m_last)
        return damage("an input is earlier than its predecessor");
    m_last = input->time;
    ++m_inputs;
    return std::move(*input);
}

absl::StatusOr<trace_record> trace_reader::readRecord()
{
    m_offset = m_nextOffset;
    std::array<char, traceRecordPrefix> prefix {};
    m_file.read(prefix.data(), prefix.size());
    if (!m_file)
        return damage("the file was cut off");
    auto const size = numberAt(prefix, 0);
    if (size > maximumTraceRecord)
        return damage("a record of " + std::to_string(size) + " bytes");
    std::string bytes(size, '\0');
    m_file.read(bytes.data(), static_cast<std::streamsize>(size));
    if (!m_file)
        return damage("the file was cut off");
    if (traceChecksum(bytes) != numberAt(prefix, 4))
        return damage("wrong checksum");
    m_nextOffset = m_offset + traceRecordPrefix + size;
    auto record = decodeTraceRecord(bytes);
    if (!record.ok())
        return damage(messageOf(record.status()));
    return record;
}

absl::Status trace_reader::damage(std::string const& what) const
{
    return makeError(error_kind::DataLoss, m_path + " is damaged at offset " + std::to_string(m_offset) + ": " + what);
}

} // namespace bilberryyard
