#pragma once

#include <string>
#include <vector>

namespace bilberryyard::test {

/// What a run of the program left.
struct process_outcome {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/// A running `bilberryyard`.
class operator_process {
public:
    /// @param arguments Arguments without the program name.
    /// @param environment "NAME=value"; nothing else is set.
    operator_process(std::vector<std::string> arguments, std::vector<std::string> environment);

    /// @return The outcome, after waiting for the end.
    process_outcome wait();

private:
    std::string m_folder;
    int m_process = -1;
};

/// Runs the program as the operator ana.
/// @param arguments Arguments without the program name.
/// @return The outcome.
process_outcome runOperator(std::vector<std::string> const& arguments);

/// @param text Contents.
/// @return Path of a new file, which is removed at the end of the test program.
std::string temporaryFile(std::string const& text);

} // namespace bilberryyard::test
