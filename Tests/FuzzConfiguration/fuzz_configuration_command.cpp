#include <Configuration/configuration_state_machine.h>
#include <cstdlib>

// Applies arbitrary commands in a row, each preceded by its length in two bytes, and restores snapshots of the
// result. Two members must agree on every result and on the bytes of the state.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    using namespace bilberryyard;
    configuration_state_machine first({ 8, 16 });
    configuration_state_machine second({ 8, 16 });
    std::string_view rest(reinterpret_cast<char const*>(data), size);
    while (rest.size() >= 2) {
        size_t const length = static_cast<size_t>(static_cast<uint8_t>(rest[0])) << 8
            | static_cast<size_t>(static_cast<uint8_t>(rest[1]));
        auto const command = rest.substr(2, length);
        rest.remove_prefix(std::min(rest.size(), length + 2));
        auto const revision = first.current().revision;
        auto const result = first.apply(command);
        if (second.apply(command) != result || first.current().revision < revision)
            std::abort();
        configuration_state_machine restored({ 8, 16 });
        if (!restored.restore(second.snapshot()).ok())
            std::abort();
        second = std::move(restored);
    }
    if (first.snapshot() != second.snapshot())
        std::abort();
    configuration_state_machine untouched({ 8, 16 });
    auto const before = untouched.snapshot();
    if (!untouched.restore({ reinterpret_cast<char const*>(data), size }).ok() && untouched.snapshot() != before)
        std::abort();
    return 0;
}
