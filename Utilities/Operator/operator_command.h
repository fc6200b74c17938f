#pragma once

#include "command_line.h"
#include "configuration_check.h"
#include "operator_session.h"
#include "response_printer.h"

namespace bilberryyard {

/// Executes one command of the operator.
class operator_command {
public:
    operator_command(command_line line, operator_session session, response_printer printer);

    /// Sends the command's requests and prints the result.
    /// @return The exit code: 0 for success, otherwise that of the error kind.
    int run();

private:
    int checkConfigurationFile();
    /// @return The configuration to compare with: from a file, or the one in force; nullopt without either.
    absl::StatusOr<std::optional<configuration>> readComparedConfiguration();
    absl::StatusOr<http_request> makeRequest();
    absl::StatusOr<http_request> makeApplyRequest();
    absl::StatusOr<http_request> makeExceptionRequest();
    absl::StatusOr<http_request> makeChangeRequest(std::vector<document_member> members);
    absl::Status fetchBaseRevision();
    http_request makeMemberRequest() const;
    http_request makeGetRequest() const;
    http_request makeAuditRequest() const;
    std::vector<document_member> changeMetadata() const;
    int reportError(session_result result) const;

    command_line m_line;
    operator_session m_session;
    response_printer m_printer;
    // Result of the request that reads the base revision; its body has the details of an error.
    session_result m_baseReadResult;
};

} // namespace bilberryyard
