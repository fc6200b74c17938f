#include <Distribution/distribution_message.h>

#include <Base/error_kind.h>
#include <Messages/distribution.pb.h>
#include <limits>

namespace bilberryyard {

namespace {

    template <typename Message>
    absl::Status parse(Message& message, std::string_view bytes)
    {
        if (bytes.size() > static_cast<size_t>(std::numeric_limits<int>::max())
            || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            return makeError(error_kind::InvalidArgument, "the data cannot be parsed as a distribution message");
        return absl::OkStatus();
    }

} // namespace

std::string configuration_request::encode() const
{
    messages::ConfigurationRequest message;
    message.set_deployment(deployment);
    message.set_host(host.value);
    message.set_incarnation(incarnation);
    message.set_have_revision(haveRevision);
    message.set_zone(zone);
    message.set_sequence(sequence);
    message.set_state(state);
    return message.SerializeAsString();
}

absl::StatusOr<configuration_request> configuration_request::decode(std::string_view bytes)
{
    messages::ConfigurationRequest message;
    if (auto const status = parse(message, bytes); !status.ok())
        return status;
    return configuration_request { message.deployment(), host_id { message.host() }, message.incarnation(),
        message.have_revision(), message.zone(), message.sequence(), message.state() };
}

std::string configuration_response::encode() const
{
    messages::ConfigurationAnswer message;
    message.set_deployment(deployment);
    message.set_sequence(sequence);
    message.set_revision(revision);
    message.set_yaml(yaml);
    message.set_stale(isStale);
    return message.SerializeAsString();
}

absl::StatusOr<configuration_response> configuration_response::decode(std::string_view bytes)
{
    messages::ConfigurationAnswer message;
    if (auto const status = parse(message, bytes); !status.ok())
        return status;
    return configuration_response { message.deployment(), message.sequence(), message.revision(), message.yaml(),
        message.stale() };
}

} // namespace bilberryyard
