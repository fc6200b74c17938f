#pragma once

#include "command_line.h"
#include "operator_session.h"

#include <ostream>

namespace bilberryyard {

/// Prints results as text or YAML.
class response_printer {
public:
    /// @param output Receives results.
    /// @param errors Receives errors.
    response_printer(std::ostream& output, std::ostream& errors);

    /// @param result A result whose status is ok.
    void print(command_line const& line, session_result const& result) const;

    /// @param text Written unchanged.
    void print(std::string const& text) const;

    /// @param result A result whose status is an error.
    void printError(command_line const& line, session_result const& result) const;

private:
    std::ostream& m_output;
    std::ostream& m_errors;
};

} // namespace bilberryyard
