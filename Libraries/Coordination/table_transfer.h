#pragma once

#include <Base/error_kind.h>
#include <Coordination/coordination_message.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// @param table A table.
/// @return Its transport form.
table_transfer toTransfer(replicated_table const& table);

/// @param transfer A received table.
/// @return The table; InvalidArgument for a bucket count that is no power of two between 1 and 2^20.
absl::StatusOr<replicated_table> fromTransfer(table_transfer const& transfer);

/// @param table A table.
/// @return What a table_request states of it.
table_summary summaryOf(replicated_table const& table);

} // namespace bilberryyard
