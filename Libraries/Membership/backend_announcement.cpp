#include <Membership/backend_announcement.h>

#include <Base/hashing.h>

namespace bilberryyard {

uint32_t digestOf(backend_announcement const& announcement)
{
    // "seen" in ASCII; keeps these hashes independent of other uses of the hash function.
    uint64_t digest = 0x7365656e;
    auto const add = [&digest](std::string const& text) {
        digest = hashBytes({ reinterpret_cast<uint8_t const*>(text.data()), text.size() }, digest);
    };
    add(announcement.id);
    add(announcement.service);
    add(announcement.zone);
    add(announcement.version);
    for (uint64_t const number : { uint64_t { announcement.address.address.toIpv4() },
             uint64_t { announcement.address.port }, uint64_t { announcement.slots },
             static_cast<uint64_t>(announcement.state), static_cast<uint64_t>(announcement.startedAtMs) })
        digest = hashPair(digest, number);
    return static_cast<uint32_t>(digest);
}

} // namespace bilberryyard
