#include <Trace/trace_recorder.h>

#include <algorithm>
#include <vector>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds drainInterval { 5 };
    constexpr size_t drainBatch = 4096;

} // namespace

absl::StatusOr<std::unique_ptr<trace_recorder>> trace_recorder::create(
    std::string const& path, trace_header const& header, monotonic_time start, size_t capacity)
{
    auto writer = trace_writer::create(path, header);
    if (!writer.ok())
        return writer.status();
    return std::unique_ptr<trace_recorder>(new trace_recorder(*std::move(writer), start, capacity));
}

trace_recorder::trace_recorder(trace_writer writer, monotonic_time start, size_t capacity)
    : m_writer(std::move(writer))
    , m_start(start)
    , m_packetInputs(capacity)
    , m_controlInputs(capacity)
{
    m_thread = std::make_unique<worker_thread>("trace", [this](std::stop_token const& token) { run(token); });
}

absl::Status trace_recorder::finish()
{
    m_thread.reset();
    while (drain() > 0) { }
    keepFirstError(m_status, m_writer.finish());
    return m_status;
}

void trace_recorder::keepFirstError(absl::Status& first, absl::Status const& status)
{
    if (first.ok())
        first = status;
}

bool trace_recorder::record(bounded_ring<trace_input>& ring, trace_input::body_type body, monotonic_time now)
{
    return ring.push({ now - m_start, std::move(body) });
}

void trace_recorder::run(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested()) {
        if (drain() == 0)
            std::this_thread::sleep_for(drainInterval);
    }
}

size_t trace_recorder::drain()
{
    std::vector<trace_input> inputs;
    for (auto* ring : { &m_packetInputs, &m_controlInputs }) {
        // Bounded, so that the thread gets to write the inputs while producers keep adding new ones.
        for (size_t count = 0; count < drainBatch; ++count) {
            auto input = ring->pop();
            if (!input)
                break;
            inputs.push_back(*std::move(input));
        }
    }
    std::stable_sort(inputs.begin(), inputs.end(),
        [](trace_input const& first, trace_input const& second) { return first.time < second.time; });
    if (auto const drops = dropped(); drops > m_writtenDrops) {
        inputs.push_back({ m_lastTime, dropped_inputs { drops - m_writtenDrops } });
        m_writtenDrops = drops;
    }
    for (auto& input : inputs) {
        // The rings are drained one after the other, so an input may be older than the last one written.
        input.time = m_lastTime = std::max(m_lastTime, input.time);
        keepFirstError(m_status, m_writer.write(input));
    }
    return inputs.size();
}

} // namespace bilberryyard
