#include <Distribution/configuration_subscriber.h>

#include <zmq.hpp>

namespace bilberryyard {

namespace {

    // The long-poll time of the publisher and a margin for the network.
    constexpr std::chrono::milliseconds answerTimeout { 2'500 };
    // A control host that is down is noticed by the missing connection only after the answer is overdue; the first
    // request of a process, which has no configuration, does not wait that long.
    constexpr std::chrono::milliseconds firstAnswerTimeout { 500 };
    constexpr std::chrono::milliseconds turnInterval { 200 };

} // namespace

struct configuration_subscriber::state {
    std::vector<ip_endpoint> controlHosts;
    configuration_request request;
    size_t selected = 0;
    zmq::context_t context { 1 };
    std::optional<zmq::socket_t> socket;
    std::optional<monotonic_time> askedAt;
    std::optional<monotonic_time> answeredAt;
    monotonic_time notBefore;
};

configuration_subscriber::configuration_subscriber(std::vector<ip_endpoint> controlHosts, configuration_request request)
    : m_state(std::make_unique<state>())
{
    m_state->controlHosts = std::move(controlHosts);
    m_state->request = std::move(request);
    // Balancers spread over the control hosts.
    m_state->selected = m_state->request.host.value % m_state->controlHosts.size();
    connect();
}

configuration_subscriber::~configuration_subscriber() = default;

void configuration_subscriber::connect()
{
    auto const& address = m_state->controlHosts[m_state->selected];
    zmq::socket_t socket(m_state->context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::ipv6, !address.address.isIpv4());
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + address.toText());
    m_state->socket = std::move(socket);
    m_state->askedAt.reset();
}

void configuration_subscriber::moveOn()
{
    m_state->selected = (m_state->selected + 1) % m_state->controlHosts.size();
    connect();
    // With every control host out of date or out of reach, the hosts are asked in turn at a bounded rate.
    m_state->notBefore = std::chrono::steady_clock::now() + turnInterval;
}

void configuration_subscriber::ask(uint64_t revision, uint32_t tableState)
{
    m_state->request.haveRevision = revision;
    m_state->request.state = tableState;
    ++m_state->request.sequence;
    m_state->askedAt = std::chrono::steady_clock::now();
    m_state->socket->send(zmq::buffer(m_state->request.encode()), zmq::send_flags::dontwait);
}

std::optional<configuration_response> configuration_subscriber::step(
    uint64_t revision, uint32_t tableState, std::chrono::milliseconds timeout)
{
    auto const now = std::chrono::steady_clock::now();
    auto const limit = m_state->answeredAt ? answerTimeout : firstAnswerTimeout;
    if (m_state->askedAt && now - *m_state->askedAt > limit)
        moveOn();
    try {
        if (!m_state->askedAt && now >= m_state->notBefore)
            ask(revision, tableState);
        zmq::pollitem_t item { m_state->socket->handle(), 0, ZMQ_POLLIN, 0 };
        if (zmq::poll(&item, 1, timeout) == 0)
            return std::nullopt;
        zmq::message_t message;
        if (!m_state->socket->recv(message, zmq::recv_flags::dontwait))
            return std::nullopt;
        auto answer = configuration_response::decode(message.to_string_view());
        if (!answer.ok() || answer->sequence != m_state->request.sequence
            || answer->deployment != m_state->request.deployment)
            return std::nullopt;
        m_state->answeredAt = std::chrono::steady_clock::now();
        m_state->askedAt.reset();
        if (answer->isStale)
            moveOn();
        if (answer->yaml.empty() || answer->revision <= revision)
            return std::nullopt;
        return *std::move(answer);
    } catch (zmq::error_t const&) {
        // A signal interrupts the wait; the caller comes back soon.
        return std::nullopt;
    }
}

std::optional<monotonic_time> configuration_subscriber::lastAnswer() const { return m_state->answeredAt; }

} // namespace bilberryyard
