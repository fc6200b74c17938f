#include <Configuration/configuration_codec.h>

#include <Configuration/configuration_command.h>

#include <Base/hashing.h>
#include <Messages/configuration.pb.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr uint64_t commandHashSeed = 0x636f6e6669677572;
    // A configuration of 10,000 services is encoded in less than 1 MB.
    constexpr size_t maximumCommandSize = size_t { 8 } * 1024 * 1024;

    uint32_t errorCode(std::optional<error_kind> error) { return error ? static_cast<uint32_t>(*error) + 1 : 0; }

    absl::StatusOr<std::optional<error_kind>> errorFromCode(uint32_t code)
    {
        if (code == 0)
            return std::optional<error_kind>();
        if (code > static_cast<uint32_t>(error_kind::Internal) + 1)
            return makeError(error_kind::DataLoss, "unknown error kind " + std::to_string(code));
        return std::optional(static_cast<error_kind>(code - 1));
    }

    wall_time timeFromNanoseconds(int64_t count) { return wall_time(duration(count)); }

    messages::ConfigurationCommand commandMessage(configuration_command const& command)
    {
        messages::ConfigurationCommand message;
        message.set_request_id(command.requestId);
        message.set_base_revision(command.baseRevision);
        message.set_author(command.author);
        message.set_reason(command.reason);
        message.set_wall_time_nanoseconds(command.time.time_since_epoch().count());
        if (auto const* replace = std::get_if<replace_configuration_change>(&command.change)) {
            toMessage(replace->parts, *message.mutable_replace_configuration());
        } else if (auto const* add = std::get_if<add_exception_change>(&command.change)) {
            toMessage(add->exception, *message.mutable_add_exception());
        } else if (auto const* remove = std::get_if<remove_exception_change>(&command.change)) {
            message.mutable_remove_exception()->set_target(remove->target.toText());
            message.mutable_remove_exception()->set_key(remove->key);
        }
        return message;
    }

    absl::StatusOr<configuration_command::change_type> changeFrom(messages::ConfigurationCommand const& message)
    {
        switch (message.change_case()) {
        case messages::ConfigurationCommand::kReplaceConfiguration: {
            auto parts = fromMessage(message.replace_configuration());
            if (!parts.ok())
                return parts.status();
            return replace_configuration_change { *std::move(parts) };
        }
        case messages::ConfigurationCommand::kAddException: {
            auto exception = fromMessage(message.add_exception());
            if (!exception.ok())
                return exception.status();
            return add_exception_change { *std::move(exception) };
        }
        case messages::ConfigurationCommand::kRemoveException: {
            auto const target = exception_target::parse(message.remove_exception().target());
            if (!target.ok())
                return target.status();
            return remove_exception_change { *target, message.remove_exception().key() };
        }
        case messages::ConfigurationCommand::CHANGE_NOT_SET:
            break;
        }
        return makeError(error_kind::InvalidArgument, "the configuration command holds no change");
    }

} // namespace

std::string configuration_command::encode() const { return commandMessage(*this).SerializeAsString(); }

absl::StatusOr<configuration_command> configuration_command::decode(std::string_view bytes)
{
    messages::ConfigurationCommand message;
    if (bytes.size() > maximumCommandSize || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "the bytes are no configuration command");
    configuration_command command { message.request_id(), message.base_revision(), message.author(), message.reason(),
        timeFromNanoseconds(message.wall_time_nanoseconds()), {} };
    auto change = changeFrom(message);
    if (!change.ok())
        return change.status();
    command.change = *std::move(change);
    return command;
}

uint64_t configuration_command::contentHash() const
{
    auto message = commandMessage(*this);
    message.clear_wall_time_nanoseconds();
    auto const bytes = message.SerializeAsString();
    return hashBytes({ reinterpret_cast<uint8_t const*>(bytes.data()), bytes.size() }, commandHashSeed);
}

configuration_command::change_type makeReplaceChange(configuration const& value)
{
    return replace_configuration_change { value.parts() };
}

configuration_command::change_type makeAddExceptionChange(configuration_exception const& value)
{
    return add_exception_change { value };
}

bool isValidRequestId(std::string_view requestId)
{
    static constexpr size_t maximumLength = 128;
    auto const isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || std::string_view("._:-").find(character) != std::string::npos;
    };
    return !requestId.empty() && requestId.size() <= maximumLength
        && std::all_of(requestId.begin(), requestId.end(), isAllowed);
}

absl::Status command_result::toStatus() const { return error ? makeError(*error, message) : absl::OkStatus(); }

std::string command_result::encode() const
{
    messages::ConfigurationResult encoded;
    toMessage(*this, encoded);
    return encoded.SerializeAsString();
}

absl::StatusOr<command_result> command_result::decode(std::string_view bytes)
{
    messages::ConfigurationResult encoded;
    if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::DataLoss, "the data cannot be parsed as a ConfigurationResult message");
    return fromMessage(encoded);
}

void toMessage(command_result const& result, messages::ConfigurationResult& message)
{
    message.set_error_kind(errorCode(result.error));
    message.set_message(result.message);
    message.set_revision(result.revision);
    for (auto const& line : result.difference)
        message.add_difference(line);
}

absl::StatusOr<command_result> fromMessage(messages::ConfigurationResult const& message)
{
    auto const error = errorFromCode(message.error_kind());
    if (!error.ok())
        return error.status();
    return command_result { *error, message.message(), message.revision(),
        { message.difference().begin(), message.difference().end() } };
}

void toMessage(audit_entry const& entry, messages::ConfigurationAuditEntry& message)
{
    message.set_sequence(entry.sequence);
    message.set_request_id(entry.requestId);
    message.set_author(entry.author);
    message.set_reason(entry.reason);
    message.set_wall_time_nanoseconds(entry.time.time_since_epoch().count());
    message.set_base_revision(entry.baseRevision);
    message.set_revision(entry.result.revision);
    message.set_error_kind(errorCode(entry.result.error));
    message.set_message(entry.result.message);
    for (auto const& line : entry.result.difference)
        message.add_difference(line);
}

absl::StatusOr<audit_entry> fromMessage(messages::ConfigurationAuditEntry const& message)
{
    auto const error = errorFromCode(message.error_kind());
    if (!error.ok())
        return error.status();
    return audit_entry { message.sequence(), message.request_id(), message.author(), message.reason(),
        timeFromNanoseconds(message.wall_time_nanoseconds()), message.base_revision(),
        { *error, message.message(), message.revision(),
            { message.difference().begin(), message.difference().end() } } };
}

} // namespace bilberryyard
