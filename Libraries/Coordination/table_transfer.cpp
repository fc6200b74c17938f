#include <Coordination/table_transfer.h>

#include <bit>

namespace bilberryyard {

namespace {

    constexpr uint32_t maximumBucketCount = 1U << 20;

} // namespace

table_transfer toTransfer(replicated_table const& table)
{
    return { table.table.snapshot(), table.table.bucketCount(), table.lineage };
}

absl::StatusOr<replicated_table> fromTransfer(table_transfer const& transfer)
{
    if (!std::has_single_bit(transfer.bucketCount) || transfer.bucketCount > maximumBucketCount)
        return makeError(error_kind::InvalidArgument,
            "table with " + std::to_string(transfer.bucketCount) + " buckets, which is not a power of two up to 2^20");
    bucket_table const empty(transfer.snapshot.service, transfer.bucketCount);
    return replicated_table { empty.withDelta(transfer.snapshot), transfer.lineage };
}

table_summary summaryOf(replicated_table const& table)
{
    return { table.table.service(), table.table.digest(), table.lineage };
}

} // namespace bilberryyard
