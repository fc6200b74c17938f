#include <Fleet/fleet_codec.h>

#include <Base/error_kind.h>
#include <Membership/announcement_check.h>
#include <Messages/fleet.pb.h>
#include <algorithm>
#include <cmath>
#include <map>

namespace bilberryyard {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    uint32_t toMilliseconds(duration value)
    {
        auto const count = duration_cast<milliseconds>(value).count();
        return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
    }

    absl::StatusOr<uint16_t> toPort(uint32_t value)
    {
        if (value > UINT16_MAX)
            return makeError(error_kind::InvalidArgument, "port " + std::to_string(value) + " is out of range");
        return static_cast<uint16_t>(value);
    }

    void write(wire::HostRecord& target, fleet_host const& host)
    {
        target.set_address(host.peer.address.toIpv4());
        target.set_peer_port(host.peer.port);
        target.set_role(static_cast<uint32_t>(host.role));
        target.set_zone(host.zone);
        target.set_name(host.name);
        target.set_age_ms(toMilliseconds(host.age));
        target.set_control_port(host.controlPort);
        target.set_directory_protocol(static_cast<uint32_t>(host.protocol));
    }

    absl::StatusOr<fleet_host> read(wire::HostRecord const& source)
    {
        auto const peerPort = toPort(source.peer_port());
        if (!peerPort.ok())
            return peerPort.status();
        auto const controlPort = toPort(source.control_port());
        if (!controlPort.ok())
            return controlPort.status();
        if (source.role() != static_cast<uint32_t>(host_role::Balancer)
            && source.role() != static_cast<uint32_t>(host_role::Control))
            return makeError(error_kind::InvalidArgument, "host role " + std::to_string(source.role()) + " is unknown");
        return fleet_host { { ip_address::fromIpv4(source.address()), *peerPort }, host_role { uint8_t(source.role()) },
            source.zone(), source.name(), *controlPort, milliseconds(source.age_ms()),
            source.directory_protocol() == 0 ? directory_protocol::Renewals : directory_protocol::Leases };
    }

    void write(wire::BackendRecord& target, aged_announcement const& record)
    {
        auto const& announcement = record.announcement;
        target.set_id(announcement.id);
        target.set_tag(announcement.tag);
        target.set_service(announcement.service);
        target.set_address(announcement.address.address.toIpv4());
        target.set_port(announcement.address.port);
        target.set_zone(announcement.zone);
        target.set_version(announcement.version);
        target.set_slots(announcement.slots);
        target.set_state(static_cast<uint32_t>(announcement.state));
        target.set_started_at_ms(announcement.startedAtMs);
        target.set_sequence(announcement.sequence);
        target.set_warm_up_left_ms(toMilliseconds(announcement.remainingWarmUp));
        target.set_age_ms(toMilliseconds(record.age));
    }

    absl::StatusOr<aged_announcement> read(wire::BackendRecord const& source)
    {
        auto const port = toPort(source.port());
        if (!port.ok())
            return port.status();
        if (source.state() < 1 || source.state() > static_cast<uint32_t>(backend_state::Gone))
            return makeError(
                error_kind::InvalidArgument, "backend state " + std::to_string(source.state()) + " is unknown");
        aged_announcement result;
        result.announcement
            = { source.id(), source.tag(), source.service(), { ip_address::fromIpv4(source.address()), *port },
                  source.zone(), source.version(), source.slots(), backend_state { uint8_t(source.state()) },
                  source.started_at_ms(), source.sequence(), milliseconds(source.warm_up_left_ms()) };
        result.age = milliseconds(source.age_ms());
        return result;
    }

    void write(wire::FleetMessage& target, hello_message const& message)
    {
        auto& hello = *target.mutable_hello();
        write(*hello.mutable_host(), message.host);
        hello.set_configuration_version(message.configurationVersion);
        hello.set_evacuation_revision(message.evacuationRevision);
        hello.set_directory_epoch(message.directoryEpoch);
        hello.set_directory_revision(message.directoryRevision);
        hello.set_wants_hosts(message.hosts == host_list::Requested);
        hello.set_wants_all_servers(message.servers == server_scope::All);
        hello.set_wants_routes(message.routes == route_request::Requested);
    }

    void write(wire::FleetMessage& target, hello_response const& message)
    {
        auto& helloResponse = *target.mutable_welcome();
        for (auto const& host : message.hosts)
            write(*helloResponse.add_hosts(), host);
        helloResponse.set_configuration_version(message.configurationVersion);
        helloResponse.set_uptime_ms(toMilliseconds(message.uptime));
        helloResponse.set_directory_restored(message.isDirectoryRestored);
        helloResponse.set_evacuation_revision(message.evacuationRevision);
    }

    void write(wire::FleetMessage& target, directory_update const& message)
    {
        auto& update = *target.mutable_directory();
        update.set_epoch(message.epoch);
        update.set_from_revision(message.fromRevision);
        update.set_to_revision(message.toRevision);
        for (auto const& record : message.records)
            write(*update.add_records(), record);
        for (auto const token : message.renewed)
            update.add_renewed(token);
        for (auto const digest : message.renewedDigests)
            update.add_renewed_digest(digest);
        update.set_all_servers(message.scope == server_scope::All);
        for (auto const& server : message.late) {
            update.add_late(server.token);
            update.add_late_age_ms(toMilliseconds(server.age));
        }
        update.set_lease(message.lease == lease_renewal::Yes);
    }

    void write(wire::PageCursor& target, page_cursor const& cursor)
    {
        target.set_zone_done(cursor.zones == page_cursor::pass::OtherZones);
        target.set_after_id(cursor.afterId);
    }

    page_cursor read(wire::PageCursor const& source)
    {
        return { source.zone_done() ? page_cursor::pass::OtherZones : page_cursor::pass::OwnZone, source.after_id() };
    }

    void write(wire::FleetMessage& target, directory_request const& message)
    {
        auto& request = *target.mutable_directory_request();
        request.set_all_servers(message.scope == server_scope::All);
        request.set_zone(message.zone);
        request.set_epoch(message.epoch);
        request.set_revision(message.revision);
        write(*request.mutable_cursor(), message.cursor);
        request.set_omit_known_records(message.known == known_records::Omitted);
    }

    void write(wire::FleetMessage& target, age_request const& message)
    {
        auto& tokens = *target.mutable_age_request()->mutable_tokens();
        tokens.Add(message.tokens.begin(), message.tokens.end());
    }

    void write(wire::FleetMessage& target, age_response const& message)
    {
        auto& response = *target.mutable_age_response();
        for (auto const& server : message.servers) {
            response.add_tokens(server.token);
            response.add_age_ms(toMilliseconds(server.age));
        }
    }

    void write(wire::FleetMessage& target, evacuated_zones const& message)
    {
        auto& evacuations = *target.mutable_evacuated_zones();
        evacuations.set_revision(message.revision);
        for (auto const& zone : message.zones)
            evacuations.add_zones(zone);
    }

    uint32_t toTenths(double count) { return static_cast<uint32_t>(std::lround(std::clamp(count, 0.0, 1e6) * 10)); }
    double fromTenths(uint32_t tenths) { return tenths / 10.0; }

    void write(wire::FailureCounts& target, std::vector<server_counts> const& servers)
    {
        for (auto const& server : servers) {
            target.add_tokens(server.token);
            target.add_whole(toTenths(server.counts.whole));
            target.add_conspicuous(toTenths(server.counts.conspicuous));
        }
    }

    void write(wire::FleetMessage& target, failure_report const& message)
    {
        write(*target.mutable_failure_report()->mutable_servers(), message.servers);
    }

    void write(wire::FleetMessage& target, failure_sums const& message)
    {
        auto& sums = *target.mutable_failure_sums();
        sums.set_reporters(message.reporters);
        write(*sums.mutable_servers(), message.servers);
        sums.set_rest_whole(toTenths(message.rest.whole));
        sums.set_rest_conspicuous(toTenths(message.rest.conspicuous));
    }

    /// Assigns an index to each distinct text of a page.
    class text_table {
    public:
        explicit text_table(wire::DirectoryPage& page)
            : m_page(page)
        {
        }

        uint32_t indexOf(std::string const& text)
        {
            auto const [entry, isNew] = m_indices.emplace(text, static_cast<uint32_t>(m_page.texts_size()));
            if (isNew)
                m_page.add_texts(text);
            return entry->second;
        }

    private:
        wire::DirectoryPage& m_page;
        std::map<std::string, uint32_t> m_indices;
    };

    void write(wire::PageRecord& target, page_record const& record, text_table& texts)
    {
        auto const& announcement = record.server.announcement;
        target.set_id(announcement.id);
        target.set_tag(announcement.tag);
        target.set_service(texts.indexOf(announcement.service));
        target.set_address(announcement.address.address.toIpv4());
        target.set_port(announcement.address.port);
        target.set_zone(texts.indexOf(announcement.zone));
        target.set_version(texts.indexOf(announcement.version));
        target.set_slots(announcement.slots);
        target.set_state(static_cast<uint32_t>(announcement.state));
        target.set_started_at_ms(announcement.startedAtMs);
        target.set_sequence(announcement.sequence);
        target.set_warm_up_left_ms(toMilliseconds(announcement.remainingWarmUp));
        target.set_age_ms(toMilliseconds(record.server.age));
        target.set_late(record.isLate);
        target.set_announcer(record.announcer);
    }

    void write(wire::FleetMessage& target, directory_page const& message)
    {
        auto& page = *target.mutable_directory_page();
        page.set_all_servers(message.scope == server_scope::All);
        for (auto const& position : message.positions) {
            auto& record = *page.add_positions();
            record.set_address(position.announcer.address.toIpv4());
            record.set_peer_port(position.announcer.port);
            record.set_epoch(position.epoch);
            record.set_revision(position.revision);
        }
        text_table texts(page);
        for (auto const& record : message.records)
            write(*page.add_records(), record, texts);
        write(*page.mutable_cursor(), message.cursor);
        write(*page.mutable_next(), message.next);
        page.set_last(message.isLast);
    }

    void write(wire::RouteUpdate& update, route_table const& message)
    {
        update.set_version(message.version);
        update.set_idle_timeout_ms(toMilliseconds(message.idleTimeout));
        for (auto const& service : message.services) {
            update.add_services(service.name);
            update.add_maximum_connections(service.maximumConnections);
        }
        bool const hasLimit = std::any_of(message.services.begin(), message.services.end(),
            [](routed_service const& service) { return service.coldRequestsPerSecond > 0; });
        for (auto const& service : message.services) {
            if (!hasLimit)
                break;
            update.add_cold_duration_ms(toMilliseconds(service.coldDuration));
            update.add_cold_requests_per_second(service.coldRequestsPerSecond);
        }
        for (auto const& [address, route] : message.routes) {
            auto& record = *update.add_routes();
            record.set_address(address.address.toIpv4());
            record.set_port(address.port);
            record.set_kind(static_cast<uint32_t>(route.kind));
            record.set_target_latency_ms(toMilliseconds(route.targetLatency));
            record.set_priority(route.priority);
            record.set_timeout_ms(toMilliseconds(route.timeout));
            for (auto const& [service, weight] : route.services) {
                record.add_services(service);
                record.add_weights(weight);
            }
        }
    }

    void write(wire::FleetMessage& target, route_table const& message) { write(*target.mutable_routes(), message); }

    void write(wire::FleetMessage& target, route_difference const& message)
    {
        auto& difference = *target.mutable_route_difference();
        difference.set_from_version(message.fromVersion);
        write(*difference.mutable_changes(), message.changes);
        for (auto const& address : message.removed) {
            difference.add_removed_addresses(address.address.toIpv4());
            difference.add_removed_ports(address.port);
        }
    }

    void write(wire::FleetMessage& target, control_envelope const& message) { target.set_control(message.bytes); }

    void write(wire::FleetMessage& target, warm_up_request const& message)
    {
        auto& request = *target.mutable_warm_up_request();
        request.set_number(message.number);
        for (auto const& server : message.servers) {
            request.add_tokens(server.token);
            request.add_wanted(server.wanted);
            request.add_open_flow_requests(server.openFlowRequests);
        }
    }

    void write(wire::FleetMessage& target, warm_up_grants const& message)
    {
        auto& grants = *target.mutable_warm_up_grants();
        grants.set_number(message.number);
        for (auto const& server : message.servers) {
            grants.add_tokens(server.token);
            grants.add_requests(server.requests);
            grants.add_remaining_ms(toMilliseconds(server.remaining));
        }
    }

    void write(wire::FleetMessage& target, join_request const& message)
    {
        write(*target.mutable_join()->mutable_host(), message.host);
        target.mutable_join()->set_token(message.token);
    }

    absl::StatusOr<fleet_message> read(wire::Hello const& source)
    {
        auto host = read(source.host());
        if (!host.ok())
            return host.status();
        return hello_message { *std::move(host), source.configuration_version(), source.directory_epoch(),
            source.directory_revision(), source.wants_hosts() ? host_list::Requested : host_list::NotRequested,
            source.wants_all_servers() ? server_scope::All : server_scope::Own,
            source.wants_routes() ? route_request::Requested : route_request::NotRequested,
            source.evacuation_revision() };
    }

    absl::StatusOr<fleet_message> read(wire::Welcome const& source)
    {
        hello_response result;
        for (auto const& record : source.hosts()) {
            auto host = read(record);
            if (!host.ok())
                return host.status();
            result.hosts.push_back(*std::move(host));
        }
        result.configurationVersion = source.configuration_version();
        result.uptime = milliseconds(source.uptime_ms());
        result.isDirectoryRestored = source.directory_restored();
        result.evacuationRevision = source.evacuation_revision();
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::AgeRequest const& source)
    {
        return age_request { { source.tokens().begin(), source.tokens().end() } };
    }

    absl::StatusOr<std::vector<server_counts>> read(wire::FailureCounts const& source)
    {
        if (source.tokens_size() != source.whole_size() || source.tokens_size() != source.conspicuous_size())
            return makeError(error_kind::InvalidArgument, "the lists of counts differ in length");
        std::vector<server_counts> servers;
        servers.reserve(static_cast<size_t>(source.tokens_size()));
        for (int index = 0; index < source.tokens_size(); ++index)
            servers.push_back(
                { source.tokens(index), { fromTenths(source.whole(index)), fromTenths(source.conspicuous(index)) } });
        return servers;
    }

    absl::StatusOr<fleet_message> read(wire::FailureReport const& source)
    {
        auto servers = read(source.servers());
        if (!servers.ok())
            return servers.status();
        return failure_report { *std::move(servers) };
    }

    absl::StatusOr<fleet_message> read(wire::FailureSums const& source)
    {
        auto servers = read(source.servers());
        if (!servers.ok())
            return servers.status();
        return failure_sums { source.reporters(), *std::move(servers),
            { fromTenths(source.rest_whole()), fromTenths(source.rest_conspicuous()) } };
    }

    absl::StatusOr<std::vector<server_age>> readAges(
        google::protobuf::RepeatedField<uint32_t> const& tokens, google::protobuf::RepeatedField<uint32_t> const& ages)
    {
        if (tokens.size() != ages.size())
            return makeError(error_kind::InvalidArgument, "the numbers of servers and of their ages differ");
        std::vector<server_age> result;
        result.reserve(static_cast<size_t>(tokens.size()));
        for (int index = 0; index < tokens.size(); ++index)
            result.push_back({ tokens.Get(index), milliseconds(ages.Get(index)) });
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::AgeResponse const& source)
    {
        auto servers = readAges(source.tokens(), source.age_ms());
        if (!servers.ok())
            return servers.status();
        return age_response { *std::move(servers) };
    }

    absl::StatusOr<fleet_message> read(wire::DirectoryUpdate const& source)
    {
        directory_update result { source.epoch(), source.from_revision(), source.to_revision(), {}, {},
            source.all_servers() ? server_scope::All : server_scope::Own, {},
            source.lease() ? lease_renewal::Yes : lease_renewal::No };
        for (auto const& record : source.records()) {
            auto announcement = read(record);
            if (!announcement.ok())
                return announcement.status();
            if (findDefect(announcement->announcement) == announcement_defect::None)
                result.records.push_back(*std::move(announcement));
        }
        result.renewed.assign(source.renewed().begin(), source.renewed().end());
        result.renewedDigests.assign(source.renewed_digest().begin(), source.renewed_digest().end());
        if (!result.renewedDigests.empty() && result.renewedDigests.size() != result.renewed.size())
            return makeError(error_kind::InvalidArgument, "the numbers of renewed servers and of their digests differ");
        auto late = readAges(source.late(), source.late_age_ms());
        if (!late.ok())
            return late.status();
        result.late = *std::move(late);
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::DirectoryRequest const& source)
    {
        return directory_request { source.all_servers() ? server_scope::All : server_scope::Own, source.zone(),
            source.epoch(), source.revision(), read(source.cursor()),
            source.omit_known_records() ? known_records::Omitted : known_records::Included };
    }

    absl::StatusOr<page_record> read(wire::PageRecord const& source, wire::DirectoryPage const& page)
    {
        auto const port = toPort(source.port());
        if (!port.ok())
            return port.status();
        if (source.state() < 1 || source.state() > static_cast<uint32_t>(backend_state::Gone))
            return makeError(
                error_kind::InvalidArgument, "backend state " + std::to_string(source.state()) + " is unknown");
        auto const textCount = static_cast<uint32_t>(page.texts_size());
        if (source.service() >= textCount || source.zone() >= textCount || source.version() >= textCount)
            return makeError(error_kind::InvalidArgument, "a record refers to a text that is not in its page");
        if (source.announcer() >= static_cast<uint32_t>(page.positions_size()))
            return makeError(error_kind::InvalidArgument, "a record refers to a position that is not in its page");
        auto const textAt = [&](uint32_t index) { return page.texts(static_cast<int>(index)); };
        page_record result;
        result.server.announcement = { source.id(), source.tag(), textAt(source.service()),
            { ip_address::fromIpv4(source.address()), *port }, textAt(source.zone()), textAt(source.version()),
            source.slots(), backend_state { uint8_t(source.state()) }, source.started_at_ms(), source.sequence(),
            milliseconds(source.warm_up_left_ms()) };
        result.server.age = milliseconds(source.age_ms());
        result.isLate = source.late();
        result.announcer = source.announcer();
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::DirectoryPage const& source)
    {
        directory_page result;
        result.scope = source.all_servers() ? server_scope::All : server_scope::Own;
        for (auto const& record : source.positions()) {
            auto const port = toPort(record.peer_port());
            if (!port.ok())
                return port.status();
            result.positions.push_back(
                { { ip_address::fromIpv4(record.address()), *port }, record.epoch(), record.revision() });
        }
        for (auto const& record : source.records()) {
            auto decoded = read(record, source);
            if (!decoded.ok())
                return decoded.status();
            if (findDefect(decoded->server.announcement) == announcement_defect::None)
                result.records.push_back(*std::move(decoded));
        }
        result.cursor = read(source.cursor());
        result.next = read(source.next());
        result.isLast = source.last();
        return result;
    }

    absl::StatusOr<service_route> read(wire::RouteRecord const& source, size_t serviceCount)
    {
        if (source.services_size() != source.weights_size())
            return makeError(error_kind::InvalidArgument, "the numbers of services and weights of a route differ");
        if (source.kind() < 1 || source.kind() > static_cast<uint32_t>(request_kind::Upload))
            return makeError(
                error_kind::InvalidArgument, "request kind " + std::to_string(source.kind()) + " is unknown");
        service_route route { request_kind { uint8_t(source.kind()) }, milliseconds(source.target_latency_ms()),
            milliseconds(source.timeout_ms()), source.priority(), {} };
        for (int index = 0; index < source.services_size(); ++index) {
            if (source.services(index) >= serviceCount)
                return makeError(
                    error_kind::InvalidArgument, "a route refers to a service index that is not in the update");
            route.services.push_back({ source.services(index), source.weights(index) });
        }
        return route;
    }

    absl::StatusOr<route_table> read(wire::RouteUpdate const& source)
    {
        if (source.services_size() != source.maximum_connections_size())
            return makeError(
                error_kind::InvalidArgument, "the numbers of services and connection limits of a route update differ");
        route_table result;
        result.version = source.version();
        result.idleTimeout = milliseconds(source.idle_timeout_ms());
        auto const limits = source.cold_duration_ms_size();
        if (limits != source.cold_requests_per_second_size() || (limits != 0 && limits != source.services_size()))
            return makeError(error_kind::InvalidArgument, "the numbers of services and warm-up limits differ");
        for (int index = 0; index < source.services_size(); ++index) {
            result.services.push_back({ source.services(index), source.maximum_connections(index) });
            if (limits == 0)
                continue;
            auto const rate = source.cold_requests_per_second(index);
            if (!std::isfinite(rate) || rate < 0)
                return makeError(error_kind::InvalidArgument, "a warm-up limit is negative or not a number");
            result.services.back().coldDuration = milliseconds(source.cold_duration_ms(index));
            result.services.back().coldRequestsPerSecond = rate;
        }
        for (auto const& record : source.routes()) {
            auto const port = toPort(record.port());
            if (!port.ok())
                return port.status();
            auto route = read(record, result.services.size());
            if (!route.ok())
                return route.status();
            result.routes.emplace(ip_endpoint { ip_address::fromIpv4(record.address()), *port }, *std::move(route));
        }
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::WarmUpRequest const& source)
    {
        if (source.wanted_size() != source.tokens_size() || source.open_flow_requests_size() != source.tokens_size())
            return makeError(error_kind::InvalidArgument, "the numbers of servers and of their demands differ");
        warm_up_request result { source.number(), {} };
        for (int index = 0; index < source.tokens_size(); ++index)
            result.servers.push_back({ source.tokens(index), source.wanted(index), source.open_flow_requests(index) });
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::WarmUpGrants const& source)
    {
        if (source.requests_size() != source.tokens_size() || source.remaining_ms_size() != source.tokens_size())
            return makeError(error_kind::InvalidArgument, "the numbers of servers and of their grants differ");
        warm_up_grants result { source.number(), {} };
        for (int index = 0; index < source.tokens_size(); ++index)
            result.servers.push_back(
                { source.tokens(index), source.requests(index), milliseconds(source.remaining_ms(index)) });
        return result;
    }

    absl::StatusOr<fleet_message> read(wire::RouteDifference const& source)
    {
        if (source.removed_addresses_size() != source.removed_ports_size())
            return makeError(error_kind::InvalidArgument, "the numbers of removed addresses and ports differ");
        auto changes = read(source.changes());
        if (!changes.ok())
            return changes.status();
        route_difference result { source.from_version(), *std::move(changes), {} };
        for (int index = 0; index < source.removed_addresses_size(); ++index) {
            auto const port = toPort(source.removed_ports(index));
            if (!port.ok())
                return port.status();
            result.removed.push_back({ ip_address::fromIpv4(source.removed_addresses(index)), *port });
        }
        return result;
    }

} // namespace

std::string encodeFleetMessage(fleet_message const& message)
{
    wire::FleetMessage target;
    std::visit([&](auto const& body) { write(target, body); }, message);
    return target.SerializeAsString();
}

absl::StatusOr<fleet_message> decodeFleetMessage(std::string_view bytes)
{
    wire::FleetMessage source;
    if (bytes.size() > INT32_MAX || !source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "the bytes are not an encoded fleet message");
    switch (source.body_case()) {
    case wire::FleetMessage::kHello:
        return read(source.hello());
    case wire::FleetMessage::kWelcome:
        return read(source.welcome());
    case wire::FleetMessage::kDirectory:
        return read(source.directory());
    case wire::FleetMessage::kDirectoryRequest:
        return read(source.directory_request());
    case wire::FleetMessage::kDirectoryPage:
        return read(source.directory_page());
    case wire::FleetMessage::kAgeRequest:
        return read(source.age_request());
    case wire::FleetMessage::kAgeResponse:
        return read(source.age_response());
    case wire::FleetMessage::kRoutes:
        if (auto routes = read(source.routes()); routes.ok())
            return *std::move(routes);
        else
            return routes.status();
    case wire::FleetMessage::kRouteDifference:
        return read(source.route_difference());
    case wire::FleetMessage::kEvacuatedZones: {
        auto const& zones = source.evacuated_zones().zones();
        return evacuated_zones { source.evacuated_zones().revision(), { zones.begin(), zones.end() } };
    }
    case wire::FleetMessage::kWarmUpRequest:
        return read(source.warm_up_request());
    case wire::FleetMessage::kWarmUpGrants:
        return read(source.warm_up_grants());
    case wire::FleetMessage::kFailureReport:
        return read(source.failure_report());
    case wire::FleetMessage::kFailureSums:
        return read(source.failure_sums());
    case wire::FleetMessage::kControl:
        return control_envelope { source.control() };
    case wire::FleetMessage::kJoin: {
        auto host = read(source.join().host());
        if (!host.ok())
            return host.status();
        return join_request { *std::move(host), source.join().token() };
    }
    case wire::FleetMessage::BODY_NOT_SET:
        break;
    }
    return makeError(error_kind::InvalidArgument, "the message has no body or a body of an unknown kind");
}

} // namespace bilberryyard
