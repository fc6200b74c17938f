#include <Consensus/log_segment.h>

#include <Base/error_kind.h>
#include <Consensus/byte_codec.h>
#include <algorithm>
#include <charconv>

namespace bilberryyard {

namespace {

    constexpr std::string_view segmentPrefix = "segment-";
    constexpr size_t sequenceDigits = 20;

    absl::Status damageError(std::string const& path, uint64_t offset, std::string const& what)
    {
        return makeError(error_kind::DataLoss, path + " is damaged at offset " + std::to_string(offset) + ": " + what);
    }

    // A sync mark after the damage proves that the damaged bytes had been synced, so they are not a torn write.
    bool hasSyncMarkAfter(std::string_view content, uint64_t offset)
    {
        auto const header = encodeRecord(record_type::SyncMark, {}, 0).substr(0, 8);
        for (auto position = content.find(header, offset + 1); position != std::string_view::npos;
             position = content.find(header, position + 1)) {
            if (decodeRecord(content, position))
                return true;
        }
        return false;
    }

} // namespace

std::string segmentFileName(uint64_t sequence)
{
    auto const digits = std::to_string(sequence);
    return std::string(segmentPrefix) + std::string(sequenceDigits - digits.size(), '0') + digits;
}

std::optional<uint64_t> segmentSequence(std::string_view name)
{
    if (!name.starts_with(segmentPrefix) || name.size() != segmentPrefix.size() + sequenceDigits)
        return std::nullopt;
    uint64_t sequence = 0;
    auto const result = std::from_chars(name.data() + segmentPrefix.size(), name.data() + name.size(), sequence);
    if (result.ec != std::errc() || result.ptr != name.data() + name.size())
        return std::nullopt;
    return sequence;
}

std::string encodeSegmentHeader(uint64_t sequence, log_index nextIndex)
{
    return byte_writer().u64(sequence).u64(nextIndex).release();
}

std::string encodeEntryPayload(log_entry const& entry)
{
    return byte_writer().u64(entry.index).u64(entry.term).u8(static_cast<uint8_t>(entry.kind)).release()
        + entry.payload;
}

std::string encodeIndexPayload(log_index index) { return byte_writer().u64(index).release(); }

absl::StatusOr<log_segment> log_replay::replay(
    std::string const& path, uint64_t sequence, std::string_view content, segment_position position)
{
    auto const header = decodeRecord(content, 0);
    if (!header || header->type != record_type::SegmentHeader)
        return damageError(path, 0, "no intact segment header");
    byte_reader reader(header->payload);
    auto const storedSequence = reader.u64();
    auto const nextIndex = reader.u64();
    if (!reader.finished() || storedSequence != sequence)
        return damageError(
            path, 0, "the segment header is malformed or has another sequence number than the file name");
    if (m_nextIndex != 0 && nextIndex != m_nextIndex) {
        return damageError(path, 0,
            "the segment starts at entry " + std::to_string(nextIndex) + " instead of " + std::to_string(m_nextIndex));
    }
    m_nextIndex = nextIndex;
    log_segment segment { sequence, header->size, 0 };
    m_hasRestarted = false;
    while (segment.size < content.size()) {
        auto const record = decodeRecord(content, segment.size);
        if (!record) {
            if (position == segment_position::Earlier || hasSyncMarkAfter(content, segment.size))
                return damageError(path, segment.size, "no intact record");
            return segment;
        }
        if (auto status = apply(*record, segment); !status.ok())
            return damageError(path, segment.size, messageOf(status));
        segment.size += record->size;
    }
    return segment;
}

absl::Status log_replay::apply(storage_record const& record, log_segment& segment)
{
    byte_reader reader(record.payload);
    auto const invalid = [](std::string const& what) { return makeError(error_kind::DataLoss, what); };
    if (record.type == record_type::SyncMark)
        return absl::OkStatus();
    auto const index = reader.u64();
    if (!reader.ok())
        return invalid("record is too short");
    if (record.type == record_type::Entry) {
        log_entry entry { reader.u64(), index, static_cast<entry_kind>(reader.u8()), {} };
        entry.payload = reader.rest();
        if (!reader.ok() || index != m_nextIndex)
            return invalid("found entry " + std::to_string(index) + " instead of " + std::to_string(m_nextIndex));
        m_entries.push_back(std::move(entry));
        m_nextIndex = index + 1;
        segment.lastIndex = std::max(segment.lastIndex, index);
        return absl::OkStatus();
    }
    if (record.type == record_type::Truncation) {
        if (index > m_nextIndex)
            return invalid("truncation at " + std::to_string(index) + " is past the end of the log");
        while (!m_entries.empty() && m_entries.back().index >= index)
            m_entries.pop_back();
        m_nextIndex = index;
        segment.lastIndex = std::max(segment.lastIndex, index - 1);
        return absl::OkStatus();
    }
    if (record.type == record_type::Restart) {
        m_entries.clear();
        m_nextIndex = index + 1;
        m_hasRestarted = true;
        segment.lastIndex = index;
        return absl::OkStatus();
    }
    return invalid("unexpected record type in a log segment");
}

} // namespace bilberryyard
