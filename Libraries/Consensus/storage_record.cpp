#include <Consensus/storage_record.h>

#include <Base/hashing.h>
#include <Consensus/byte_codec.h>
#include <vector>

namespace bilberryyard {

namespace {

    uint64_t checksumOf(std::string_view header, std::string_view payload, uint64_t offset)
    {
        auto const bytesOf = [](std::string_view text) {
            return std::span(reinterpret_cast<uint8_t const*>(text.data()), text.size());
        };
        return hashBytes(bytesOf(payload), hashBytes(bytesOf(header), offset));
    }

} // namespace

std::string encodeRecord(record_type type, std::string_view payload, uint64_t offset)
{
    byte_writer writer;
    writer.u32(static_cast<uint32_t>(payload.size())).u32(static_cast<uint32_t>(type));
    auto header = writer.release();
    auto const checksum = checksumOf(header, payload, offset);
    byte_writer tail;
    tail.u64(checksum);
    return header + tail.release() + std::string(payload);
}

std::optional<storage_record> decodeRecord(std::string_view bytes, uint64_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < recordHeaderSize)
        return std::nullopt;
    auto const header = bytes.substr(offset, 8);
    byte_reader reader(bytes.substr(offset, recordHeaderSize));
    auto const length = reader.u32();
    auto const type = reader.u32();
    auto const checksum = reader.u64();
    if (length > bytes.size() - offset - recordHeaderSize)
        return std::nullopt;
    auto const payload = bytes.substr(offset + recordHeaderSize, length);
    if (checksumOf(header, payload, offset) != checksum)
        return std::nullopt;
    if (type < static_cast<uint32_t>(record_type::SegmentHeader) || type > static_cast<uint32_t>(record_type::Snapshot))
        return std::nullopt;
    return storage_record { static_cast<record_type>(type), payload, recordHeaderSize + length };
}

} // namespace bilberryyard
