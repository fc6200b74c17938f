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
    if (m_pending.size() + line.size() > maximumPendingBytes) {
        ++m_droppedCount;
        return;
    }
    m_pending.append(line);
}

void line_output::flush()
{
    std::lock_guard const lock(m_mutex);
    size_t written = 0;
    while (written < m_pending.size()) {
        pollfd state { m_descriptor, POLLOUT, 0 };
        if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;
        // POSIX guarantees that a pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
        auto const count
            = write(m_descriptor, m_pending.data() + written, std::min<size_t>(m_pending.size() - written, PIPE_BUF));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_pending.erase(0, written);
}

uint64_t line_output::dropped() const
{
    std::lock_guard const lock(m_mutex);
    return m_droppedCount;
}

} // namespace bilberryyard
