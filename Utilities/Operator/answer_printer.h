#pragma once

#include "command_line.h"
#include "operator_session.h"

#include <ostream>

namespace bilberryyard {

/// Writes answers for people or as YAML.
class answer_printer {
public:
    /// @param output Receives answers.
    /// @param errors Receives errors.
    answer_printer(std::ostream& output, std::ostream& errors);

    /// @param line The arguments of the program.
    /// @param answer An answer without error.
    void print(command_line const& line, session_answer const& answer) const;

    /// @param line The arguments of the program.
    /// @param answer An answer with an error.
    void printError(command_line const& line, session_answer const& answer) const;

private:
    std::ostream& m_output;
    std::ostream& m_errors;
};

} // namespace bilberryyard
