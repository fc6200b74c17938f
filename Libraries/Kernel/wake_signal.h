#pragma once

#include <absl/status/statusor.h>

namespace bilberryyard {

/// Wakes a thread that waits in poll(2) for descriptor(). May be raised by any thread.
class wake_signal {
public:
    /// @return The signal; ResourceExhausted when no event descriptor can be created.
    static absl::StatusOr<wake_signal> create();

    wake_signal(wake_signal&& other) noexcept;
    wake_signal& operator=(wake_signal&& other) noexcept;
    wake_signal(wake_signal const&) = delete;
    wake_signal& operator=(wake_signal const&) = delete;
    ~wake_signal();

    /// Makes descriptor() readable until clear() is called.
    void raise() const;
    void clear() const;
    int descriptor() const { return m_descriptor; }

private:
    explicit wake_signal(int descriptor);

    int m_descriptor = -1;
};

} // namespace bilberryyard
