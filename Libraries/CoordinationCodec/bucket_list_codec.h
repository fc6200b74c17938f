#pragma once

#include <Base/error_kind.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// Largest bucket index in a message; tables have at most 2^20 buckets.
inline constexpr uint32_t maximumBucketIndex = (1U << 20) - 1;

/// Encodes bucket indices as gaps, or as runs if those are fewer values. Gaps are differences to the preceding index;
/// runs are pairs of the distance from the end of the preceding run and the length.
/// @param buckets Bucket indices in ascending order.
/// @param message A message with the repeated fields gaps and runs.
template <typename Message>
void encodeBuckets(std::vector<uint32_t> const& buckets, Message& message)
{
    std::vector<uint32_t> runs;
    uint32_t end = 0;
    for (size_t start = 0; start < buckets.size();) {
        size_t next = start + 1;
        while (next < buckets.size() && buckets[next] == buckets[next - 1] + 1)
            ++next;
        runs.push_back(buckets[start] - end);
        runs.push_back(static_cast<uint32_t>(next - start));
        end = buckets[next - 1] + 1;
        start = next;
    }
    if (runs.size() < buckets.size()) {
        message.mutable_runs()->Assign(runs.begin(), runs.end());
        return;
    }
    uint32_t previous = 0;
    for (auto const index : buckets) {
        message.add_gaps(index - previous);
        previous = index;
    }
}

/// Decodes bucket indices and checks that they are ascending and in range.
/// @param message A message with the repeated fields gaps and runs.
/// @return InvalidArgument for a malformed list.
template <typename Message>
absl::StatusOr<std::vector<uint32_t>> decodeBuckets(Message const& message)
{
    std::vector<uint32_t> buckets;
    uint64_t position = 0;
    for (auto const gap : message.gaps()) {
        position += gap;
        if (position > maximumBucketIndex || (!buckets.empty() && gap == 0))
            return makeError(error_kind::InvalidArgument, "bucket indices are out of range or not ascending");
        buckets.push_back(static_cast<uint32_t>(position));
    }
    if (message.runs_size() % 2 != 0 || (message.runs_size() > 0 && message.gaps_size() > 0))
        return makeError(error_kind::InvalidArgument, "bucket runs are incomplete or combined with gaps");
    for (int index = 0; index < message.runs_size(); index += 2) {
        position += message.runs(index);
        uint64_t const end = position + message.runs(index + 1);
        if (end > maximumBucketIndex + uint64_t { 1 })
            return makeError(error_kind::InvalidArgument, "bucket run exceeds the largest bucket index");
        for (; position < end; ++position)
            buckets.push_back(static_cast<uint32_t>(position));
    }
    return buckets;
}

} // namespace bilberryyard
