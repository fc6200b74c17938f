#pragma once

#include <string>
#include <vector>

namespace bilberryyard {

/// Replays traces with the flow router and the two baselines, and writes the users' measures to report.txt and
/// report.svg.
/// @param traces Folder of the traces.
/// @param output Folder of the report; it is created if it does not exist.
/// @param only Names of the traces to replay; all when empty.
/// @return Exit code of the program.
int writeReport(std::string const& traces, std::string const& output, std::vector<std::string> const& only);

} // namespace bilberryyard
