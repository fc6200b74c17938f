#include "flow_text.h"

#include <Base/error_kind.h>
#include <Packet/ip_endpoint.h>
#include <algorithm>
#include <sstream>

namespace bilberryyard {

namespace {

    std::string_view nameOf(routing_rule rule)
    {
        switch (rule) {
        case routing_rule::NoService:
            return "no service has this address, port and protocol";
        case routing_rule::Unsynchronised:
            return "this host is not synchronised and relays to a peer";
        case routing_rule::StableBucket:
            return "the bucket is stable";
        case routing_rule::ExplicitEntry:
            return "an explicit entry names the server";
        case routing_rule::Base:
            return "the flow is older than the tracking of its bucket";
        case routing_rule::NewFlow:
            return "the flow is new to this host";
        case routing_rule::Relayed:
            return "a witness decides";
        case routing_rule::NoWitness:
            return "no witness of the bucket is alive";
        }
        return "unknown";
    }

} // namespace

absl::StatusOr<flow_key> parseFlow(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    std::string protocol;
    std::string source;
    std::string destination;
    stream >> protocol >> source >> destination;
    if (destination == "->")
        stream >> destination;
    std::string rest;
    if (!stream || (stream >> rest) || (protocol != "tcp" && protocol != "udp"))
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text) + "' is not a flow such as 'tcp 192.0.2.1:4000 -> 198.51.100.1:80'");
    auto const from = ip_endpoint::parse(source);
    if (!from.ok())
        return from.status();
    auto const to = ip_endpoint::parse(destination);
    if (!to.ok())
        return to.status();
    return flow_key { from->address, to->address, from->port, to->port,
        protocol == "tcp" ? ip_protocol::Tcp : ip_protocol::Udp };
}

document describe(flow_key const& key, flow_explanation const& explanation, balancer_status const& status)
{
    std::vector<document_member> members { { "flow", document::text(key.toText()) },
        { "rule", document::text(nameOf(explanation.rule)) } };
    if (explanation.rule == routing_rule::NoService)
        return document::map(std::move(members));
    members.push_back({ "service", document::unsignedInteger(explanation.service.value) });
    members.push_back({ "bucket", document::unsignedInteger(explanation.bucket) });
    members.push_back({ "table_version", document::unsignedInteger(explanation.tableVersion) });
    if (status.configuration)
        members.push_back({ "configuration_revision", document::unsignedInteger(status.configuration->revision) });
    if (explanation.host)
        members.push_back({ "host", document::unsignedInteger(explanation.host->value) });
    if (explanation.server != noServer) {
        members.push_back({ "server", document::unsignedInteger(explanation.server.value) });
        auto const row = std::find_if(status.servers.begin(), status.servers.end(),
            [&](server_status const& value) { return value.entry.id == explanation.server; });
        if (row != status.servers.end()) {
            auto const& serverKey = row->entry.announcement.key;
            members.push_back(
                { "endpoint", document::text(ip_endpoint { serverKey.address, serverKey.port }.toText()) });
        }
    }
    return document::map(std::move(members));
}

} // namespace bilberryyard
