#include <Configuration/configuration_command.h>

namespace bilberryyard {

namespace {

    absl::StatusOr<configuration> apply(configuration const&, replace_configuration_change const& change)
    {
        return configuration::create(change.parts);
    }

    absl::StatusOr<configuration> apply(configuration const& current, add_exception_change const& change)
    {
        return current.withException(change.exception);
    }

    absl::StatusOr<configuration> apply(configuration const& current, remove_exception_change const& change)
    {
        return current.withoutException(change.target, change.key);
    }

} // namespace

absl::StatusOr<configuration> withChange(configuration const& current, configuration_command::change_type const& change)
{
    return std::visit([&](auto const& value) { return apply(current, value); }, change);
}

} // namespace bilberryyard
