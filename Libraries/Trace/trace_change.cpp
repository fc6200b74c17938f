#include <Trace/trace_change.h>

#include <Configuration/configuration_reader.h>

namespace bilberryyard {

absl::StatusOr<configuration_command::change_type> readReplaceChange(std::string const& yaml)
{
    auto const value = configuration_reader("trace").read(yaml);
    if (!value.ok())
        return value.status();
    return makeReplaceChange(*value);
}

} // namespace bilberryyard
