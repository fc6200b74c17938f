#include <Configuration/configuration_command.h>

#include <Configuration/configuration_reader.h>
#include <Configuration/document_parser.h>

namespace bilberryyard {

namespace {

    absl::StatusOr<configuration> apply(configuration const&, replace_configuration_change const& change)
    {
        return configuration_reader("configuration").read(change.yaml);
    }

    absl::StatusOr<configuration> apply(configuration const& current, add_exception_change const& change)
    {
        auto const tree = parseDocument(change.yaml, "exception");
        if (!tree.ok())
            return tree.status();
        auto const exception = configuration_reader("exception").readException(*tree);
        if (!exception.ok())
            return exception.status();
        return current.withException(*exception);
    }

    absl::StatusOr<configuration> apply(configuration const& current, remove_exception_change const& change)
    {
        auto const target = exception_target::parse(change.target);
        if (!target.ok())
            return target.status();
        return current.withoutException(*target, change.key);
    }

} // namespace

absl::StatusOr<configuration> withChange(configuration const& current, configuration_command::change_type const& change)
{
    return std::visit([&](auto const& value) { return apply(current, value); }, change);
}

} // namespace bilberryyard
