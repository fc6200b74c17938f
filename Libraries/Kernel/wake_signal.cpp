#include <Kernel/wake_signal.h>

#include <Base/error_kind.h>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace bilberryyard {

wake_signal::wake_signal(int descriptor)
    : m_descriptor(descriptor)
{
}

wake_signal::wake_signal(wake_signal&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

wake_signal& wake_signal::operator=(wake_signal&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

wake_signal::~wake_signal()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

absl::StatusOr<wake_signal> wake_signal::create()
{
    wake_signal result(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (result.m_descriptor < 0)
        return makeError(
            error_kind::ResourceExhausted, std::string("cannot create an event descriptor: ") + std::strerror(errno));
    return result;
}

void wake_signal::raise() const
{
    uint64_t const one = 1;
    // EAGAIN means that the counter is at its maximum. The descriptor is readable then, which is all that is needed.
    [[maybe_unused]] auto const bytesWritten = write(m_descriptor, &one, sizeof(one));
}

void wake_signal::clear() const
{
    uint64_t count = 0;
    // EAGAIN means that the signal was not raised.
    [[maybe_unused]] auto const bytesRead = read(m_descriptor, &count, sizeof(count));
}

} // namespace bilberryyard
