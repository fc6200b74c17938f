#include <Base/error_kind.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using bilberryyard::error_kind;

struct error_row {
    error_kind kind;
    char const* name;
    int httpStatus;
    int exitCode;
};

std::ostream& operator<<(std::ostream& stream, error_row const& row) { return stream << row.name; }

error_row const rows[] = {
    { error_kind::InvalidArgument, "invalid_argument", 400, 64 },
    { error_kind::NotFound, "not_found", 404, 66 },
    { error_kind::Conflict, "conflict", 409, 73 },
    { error_kind::Unavailable, "unavailable", 503, 69 },
    { error_kind::NotLeader, "not_leader", 421, 75 },
    { error_kind::DeadlineExceeded, "deadline_exceeded", 504, 74 },
    { error_kind::ResourceExhausted, "resource_exhausted", 429, 71 },
    { error_kind::FailedPrecondition, "failed_precondition", 412, 78 },
    { error_kind::DataLoss, "data_loss", 500, 65 },
    { error_kind::PermissionDenied, "permission_denied", 403, 77 },
    { error_kind::Internal, "internal", 500, 70 },
};

// Guards against rows of the table in another order than the enumerators, which would give operators the exit code and
// HTTP status of another error kind.
BOOST_DATA_TEST_CASE(error_table_matches_kind, rows, row)
{
    auto const& presentation = bilberryyard::presentationFor(row.kind);
    BOOST_TEST(presentation.name == row.name);
    BOOST_TEST(presentation.httpStatus == row.httpStatus);
    BOOST_TEST(presentation.exitCode == row.exitCode);
    auto const status = bilberryyard::makeError(row.kind, "detail");
    BOOST_TEST(!status.ok());
    BOOST_TEST(bilberryyard::messageOf(status) == "detail");
    BOOST_CHECK(bilberryyard::errorKindOf(status) == row.kind);
    BOOST_CHECK(bilberryyard::errorKindByName(row.name) == row.kind);
}

} // namespace
