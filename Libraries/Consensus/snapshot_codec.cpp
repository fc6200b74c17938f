#include <Consensus/snapshot_codec.h>

#include <Base/error_kind.h>
#include <Consensus/byte_codec.h>
#include <Consensus/storage_record.h>
#include <charconv>

namespace bilberryyard {

namespace {

    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr size_t indexDigits = 20;
    /// Maximum size of one data record. Limits the bytes that one checksum covers, and is far below the maximum of the
    /// 32-bit record length.
    constexpr size_t dataRecordBytes = size_t { 1024 } * 1024;

} // namespace

std::string snapshotFileName(log_index index)
{
    auto const digits = std::to_string(index);
    return std::string(snapshotPrefix) + std::string(indexDigits - digits.size(), '0') + digits;
}

std::optional<log_index> snapshotFileIndex(std::string_view name)
{
    if (!name.starts_with(snapshotPrefix) || name.size() != snapshotPrefix.size() + indexDigits)
        return std::nullopt;
    log_index index = 0;
    auto const result = std::from_chars(name.data() + snapshotPrefix.size(), name.data() + name.size(), index);
    if (result.ec != std::errc() || result.ptr != name.data() + name.size())
        return std::nullopt;
    return index;
}

std::string encodeSnapshotFile(log_snapshot const& snapshot)
{
    auto const header = byte_writer()
                            .u64(snapshot.index)
                            .u64(snapshot.term)
                            .u64(snapshot.data.size())
                            .text(snapshot.configuration.encode())
                            .release();
    auto content = encodeRecord(record_type::Snapshot, header, 0);
    for (size_t position = 0; position < snapshot.data.size(); position += dataRecordBytes) {
        auto const chunk = std::string_view(snapshot.data).substr(position, dataRecordBytes);
        content += encodeRecord(record_type::Snapshot, chunk, content.size());
    }
    return content;
}

absl::StatusOr<log_snapshot> decodeSnapshotFile(std::string const& path, std::string_view content)
{
    auto const damageError = [&](uint64_t offset) {
        return makeError(error_kind::DataLoss,
            path + " is damaged at offset " + std::to_string(offset) + ": no intact snapshot record");
    };
    auto record = decodeRecord(content, 0);
    if (!record || record->type != record_type::Snapshot)
        return damageError(0);
    byte_reader reader(record->payload);
    log_snapshot snapshot;
    snapshot.index = reader.u64();
    snapshot.term = reader.u64();
    auto const size = reader.u64();
    auto configuration = cluster_configuration::decode(reader.text());
    if (!reader.finished() || !configuration.ok())
        return damageError(0);
    snapshot.configuration = *std::move(configuration);
    auto offset = record->size;
    while (offset < content.size()) {
        record = decodeRecord(content, offset);
        if (!record || record->type != record_type::Snapshot)
            return damageError(offset);
        snapshot.data += record->payload;
        offset += record->size;
    }
    if (snapshot.data.size() != size)
        return damageError(offset);
    return snapshot;
}

} // namespace bilberryyard
