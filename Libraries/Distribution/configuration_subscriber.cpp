#include <Distribution/configuration_subscriber.h>

#include <zmq.hpp>

namespace bilberryyard {

namespace {

    // The long-poll timeout of the publisher (2 s) plus a margin for network delays.
    constexpr std::chrono::milliseconds responseTimeout { 2'500 };
    // A failed connection is not reported, so an unreachable control host is detected only by the timeout. The timeout
    // is shorter until the first response, because the process may have no configuration yet.
    constexpr std::chrono::milliseconds firstResponseTimeout { 500 };
    constexpr std::chrono::milliseconds hostSwitchDelay { 200 };

} // namespace

struct configuration_subscriber::state {
    std::vector<ip_endpoint> controlHosts;
    configuration_request request;
    size_t selectedHost = 0;
    zmq::context_t context { 1 };
    std::optional<zmq::socket_t> socket;
    std::optional<monotonic_time> requestSentAt;
    std::optional<monotonic_time> respondedAt;
    monotonic_time earliestRequestAt;
};

configuration_subscriber::configuration_subscriber(std::vector<ip_endpoint> controlHosts, configuration_request request)
    : m_state(std::make_unique<state>())
{
    m_state->controlHosts = std::move(controlHosts);
    m_state->request = std::move(request);
    // Distributes the balancers over the control hosts.
    m_state->selectedHost = m_state->request.host.value % m_state->controlHosts.size();
    connect();
}

configuration_subscriber::~configuration_subscriber() = default;

void configuration_subscriber::connect()
{
    auto const& address = m_state->controlHosts[m_state->selectedHost];
    zmq::socket_t socket(m_state->context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::ipv6, !address.address.isIpv4());
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + address.toText());
    m_state->socket = std::move(socket);
    m_state->requestSentAt.reset();
}

void configuration_subscriber::switchToNextHost()
{
    m_state->selectedHost = (m_state->selectedHost + 1) % m_state->controlHosts.size();
    connect();
    // Limits the rate of requests when every control host is stale or unreachable.
    m_state->earliestRequestAt = std::chrono::steady_clock::now() + hostSwitchDelay;
}

void configuration_subscriber::sendRequest(uint64_t revision, uint32_t tableState)
{
    m_state->request.haveRevision = revision;
    m_state->request.state = tableState;
    ++m_state->request.sequence;
    m_state->requestSentAt = std::chrono::steady_clock::now();
    m_state->socket->send(zmq::buffer(m_state->request.encode()), zmq::send_flags::dontwait);
}

std::optional<configuration_response> configuration_subscriber::step(
    uint64_t revision, uint32_t tableState, std::chrono::milliseconds timeout)
{
    auto const now = std::chrono::steady_clock::now();
    auto const requestTimeout = m_state->respondedAt ? responseTimeout : firstResponseTimeout;
    if (m_state->requestSentAt && now - *m_state->requestSentAt > requestTimeout)
        switchToNextHost();
    try {
        if (!m_state->requestSentAt && now >= m_state->earliestRequestAt)
            sendRequest(revision, tableState);
        zmq::pollitem_t item { m_state->socket->handle(), 0, ZMQ_POLLIN, 0 };
        if (zmq::poll(&item, 1, timeout) == 0)
            return std::nullopt;
        zmq::message_t message;
        if (!m_state->socket->recv(message, zmq::recv_flags::dontwait))
            return std::nullopt;
        auto response = configuration_response::decode(message.to_string_view());
        if (!response.ok() || response->sequence != m_state->request.sequence
            || response->deployment != m_state->request.deployment)
            return std::nullopt;
        m_state->respondedAt = std::chrono::steady_clock::now();
        m_state->requestSentAt.reset();
        if (response->isStale)
            switchToNextHost();
        if (response->yaml.empty() || response->revision <= revision)
            return std::nullopt;
        return *std::move(response);
    } catch (zmq::error_t const&) {
        // A signal interrupted the wait; the caller calls step() again.
        return std::nullopt;
    }
}

std::optional<monotonic_time> configuration_subscriber::lastResponseAt() const { return m_state->respondedAt; }

} // namespace bilberryyard
