#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    struct table_row {
        error_presentation presentation;
        absl::StatusCode code;
    };

    // In the order of the enumerators, which are used as indices.
    constexpr std::array<table_row, 11> errorTable { {
        { { error_kind::InvalidArgument, "invalid_argument", 400, 64 }, absl::StatusCode::kInvalidArgument },
        { { error_kind::NotFound, "not_found", 404, 66 }, absl::StatusCode::kNotFound },
        { { error_kind::Conflict, "conflict", 409, 73 }, absl::StatusCode::kAborted },
        { { error_kind::Unavailable, "unavailable", 503, 69 }, absl::StatusCode::kUnavailable },
        { { error_kind::NotLeader, "not_leader", 421, 75 }, absl::StatusCode::kOutOfRange },
        { { error_kind::DeadlineExceeded, "deadline_exceeded", 504, 74 }, absl::StatusCode::kDeadlineExceeded },
        { { error_kind::ResourceExhausted, "resource_exhausted", 429, 71 }, absl::StatusCode::kResourceExhausted },
        { { error_kind::FailedPrecondition, "failed_precondition", 412, 78 }, absl::StatusCode::kFailedPrecondition },
        { { error_kind::DataLoss, "data_loss", 500, 65 }, absl::StatusCode::kDataLoss },
        { { error_kind::PermissionDenied, "permission_denied", 403, 77 }, absl::StatusCode::kPermissionDenied },
        { { error_kind::Internal, "internal", 500, 70 }, absl::StatusCode::kInternal },
    } };

} // namespace

absl::Status makeError(error_kind kind, std::string_view message)
{
    auto const& row = errorTable[static_cast<size_t>(kind)];
    return absl::Status(row.code, absl::string_view(message.data(), message.size()));
}

error_kind errorKindOf(absl::Status const& status)
{
    for (auto const& row : errorTable) {
        if (row.code == status.code())
            return row.presentation.kind;
    }
    return error_kind::Internal;
}

error_presentation const& presentationFor(error_kind kind)
{
    return errorTable[static_cast<size_t>(kind)].presentation;
}

std::optional<error_kind> errorKindByName(std::string_view name)
{
    for (auto const& row : errorTable) {
        if (row.presentation.name == name)
            return row.presentation.kind;
    }
    return std::nullopt;
}

std::string messageOf(absl::Status const& status)
{
    return std::string(status.message().data(), status.message().size());
}

} // namespace bilberryyard
