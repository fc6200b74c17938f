#pragma once

#include "answer_printer.h"
#include "command_line.h"
#include "operator_session.h"

namespace bilberryyard {

/// Carries out one command of the operator.
class operator_command {
public:
    /// @param line The arguments of the program.
    /// @param session The hosts.
    /// @param printer Receives the answer.
    operator_command(command_line line, operator_session session, answer_printer printer);

    /// @return The exit code: 0, or that of the kind of the error.
    int run();

private:
    absl::StatusOr<http_request> makeRequest();
    absl::StatusOr<http_request> makeApplyRequest();
    absl::StatusOr<http_request> makeExceptionRequest();
    absl::StatusOr<http_request> makeChangeRequest(std::vector<document_member> members);
    absl::Status readBase();
    http_request makeMemberRequest() const;
    http_request makeGetRequest() const;
    http_request makeAuditRequest() const;
    std::vector<document_member> whoAndWhy() const;
    int fail(session_answer answer) const;

    command_line m_line;
    operator_session m_session;
    answer_printer m_printer;
    // Error of the request that reads the base revision, with its details.
    session_answer m_readAnswer;
};

} // namespace bilberryyard
