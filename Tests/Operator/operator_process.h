#pragma once

#include <string>
#include <vector>

namespace bilberryyard::test {

/// The exit code and the output of a finished process.
struct process_outcome {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/// A running `bilberryyard`.
class operator_process {
public:
    /// @param arguments Arguments without the program name.
    /// @param environment The complete environment, as "NAME=value".
    operator_process(std::vector<std::string> arguments, std::vector<std::string> environment);

    /// Waits for the process to end.
    process_outcome wait();

private:
    std::string m_folder;
    int m_process = -1;
};

/// Runs the program with the author "ana" and waits for its end.
/// @param arguments Arguments without the program name.
process_outcome runOperator(std::vector<std::string> const& arguments);

/// Writes the text to a new file, which is removed at the end of the test program.
/// @return The path of the file.
std::string temporaryFile(std::string const& text);

} // namespace bilberryyard::test
