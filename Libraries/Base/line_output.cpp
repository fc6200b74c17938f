#include <Base/line_output.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bilberryyard {

line_output::line_output(int descriptor)
    : m_descriptor(descriptor)
{
}

void line_output::append(std::string_view line)
{
    std::lock_guard const lock(m_mutex);
    if (m_waiting.size() + line.size() > maximumWaitingBytes) {
        ++m_dropped;
        return;
    }
    m_waiting.append(line);
}

void line_output::flush()
{
    std::lock_guard const lock(m_mutex);
    size_t written = 0;
    while (written < m_waiting.size()) {
        pollfd state { m_descriptor, POLLOUT, 0 };
        if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;
        // A pipe that is ready for writing takes this much without blocking (POSIX, PIPE_BUF).
        auto const count
            = write(m_descriptor, m_waiting.data() + written, std::min<size_t>(m_waiting.size() - written, PIPE_BUF));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_waiting.erase(0, written);
}

uint64_t line_output::dropped() const
{
    std::lock_guard const lock(m_mutex);
    return m_dropped;
}

} // namespace bilberryyard
