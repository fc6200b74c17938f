#include <Distribution/configuration_publisher.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <zmq.hpp>

namespace bilberryyard {

namespace {

    constexpr std::chrono::seconds longPollTimeout { 2 };
    // Longer than an election, during which no host can know that its data is current.
    constexpr std::chrono::seconds maximumDataAge { 3 };
    // Enough for one waiting request of each daemon of a deployment of the planned size.
    constexpr size_t maximumWaitingRequests = 4096;

    struct waiting_request {
        std::string identity;
        configuration_request request;
        monotonic_time deadline;
    };

} // namespace

struct configuration_publisher::state {
    uint32_t deployment = 0;
    zmq::context_t context { 1 };
    zmq::socket_t socket { context, zmq::socket_type::router };
    uint64_t revision = 0;
    std::string yaml;
    bool isStale = false;
    std::vector<waiting_request> waiting;
    std::map<host_id, subscriber_status> subscribers;
};

absl::StatusOr<configuration_publisher> configuration_publisher::create(ip_endpoint const& local, uint32_t deployment)
{
    try {
        auto opened = std::make_unique<state>();
        opened->deployment = deployment;
        opened->socket.set(zmq::sockopt::ipv6, !local.address.isIpv4());
        opened->socket.set(zmq::sockopt::linger, 0);
        opened->socket.bind("tcp://" + local.toText());
        return configuration_publisher(std::move(opened));
    } catch (zmq::error_t const& error) {
        return makeError(error_kind::Unavailable,
            "cannot bind the configuration distribution socket to " + local.toText() + ": " + error.what());
    }
}

configuration_publisher::configuration_publisher(std::unique_ptr<state> opened)
    : m_state(std::move(opened))
{
}

configuration_publisher::configuration_publisher(configuration_publisher&&) noexcept = default;
configuration_publisher& configuration_publisher::operator=(configuration_publisher&&) noexcept = default;
configuration_publisher::~configuration_publisher() = default;

void configuration_publisher::publish(uint64_t revision, std::string yaml)
{
    if (revision <= m_state->revision)
        return;
    m_state->revision = revision;
    m_state->yaml = std::move(yaml);
    respondToDueRequests();
}

void configuration_publisher::setDataAge(std::optional<duration> age)
{
    m_state->isStale = !age || *age > maximumDataAge;
}

void configuration_publisher::step(std::chrono::milliseconds timeout)
{
    try {
        zmq::pollitem_t item { m_state->socket.handle(), 0, ZMQ_POLLIN, 0 };
        if (zmq::poll(&item, 1, timeout) > 0)
            receiveRequests();
    } catch (zmq::error_t const&) {
        // A signal interrupted the wait; the caller calls step() again.
    }
    respondToDueRequests();
}

void configuration_publisher::receiveRequests()
{
    auto& socket = m_state->socket;
    zmq::message_t identity;
    while (socket.recv(identity, zmq::recv_flags::dontwait)) {
        zmq::message_t body;
        if (!identity.more() || !socket.recv(body, zmq::recv_flags::dontwait))
            continue;
        auto const now = std::chrono::steady_clock::now();
        auto const request = configuration_request::decode(body.to_string_view());
        if (!request.ok() || request->deployment != m_state->deployment)
            continue;
        m_state->subscribers[request->host]
            = { request->host, request->incarnation, request->zone, request->haveRevision, request->state, now };
        auto const sender = identity.to_string();
        // A balancer has one request at a time, so a new request replaces the earlier one of the same connection.
        std::erase_if(m_state->waiting, [&](waiting_request const& waiting) { return waiting.identity == sender; });
        if (m_state->waiting.size() < maximumWaitingRequests)
            m_state->waiting.push_back({ sender, *request, now + longPollTimeout });
    }
}

void configuration_publisher::respondToDueRequests()
{
    auto const now = std::chrono::steady_clock::now();
    std::erase_if(m_state->waiting, [&](waiting_request const& waiting) {
        bool const isNewer = m_state->revision > waiting.request.haveRevision;
        if (!isNewer && !m_state->isStale && now < waiting.deadline)
            return false;
        configuration_response const response { m_state->deployment, waiting.request.sequence, m_state->revision,
            isNewer ? m_state->yaml : std::string(), m_state->isStale };
        try {
            m_state->socket.send(zmq::buffer(waiting.identity), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
            m_state->socket.send(zmq::buffer(response.encode()), zmq::send_flags::dontwait);
        } catch (zmq::error_t const&) {
            // The balancer has disconnected; it sends a new request when it reconnects.
        }
        return true;
    });
}

std::vector<subscriber_status> configuration_publisher::subscribers() const
{
    std::vector<subscriber_status> result;
    for (auto const& [host, status] : m_state->subscribers)
        result.push_back(status);
    return result;
}

} // namespace bilberryyard
