#include <Transport/datagram_fragments.h>

#include <Base/hashing.h>
#include <algorithm>
#include <cstring>

namespace bilberryyard {

namespace {

    constexpr uint32_t formatMark = 0x42594431; // "BYD1"
    // What is incomplete after this time stays so: the sender repeats the whole message.
    constexpr std::chrono::seconds assemblyLimit { 2 };
    constexpr size_t maximumPartialMessages = 256;

    struct datagram_header {
        uint32_t mark;
        uint32_t number;
        uint16_t index;
        uint16_t count;
        /// Checksum of the part; UDP's own covers only 16 bits.
        uint32_t checksum;
    };
    constexpr size_t headerBytes = sizeof(datagram_header);
    constexpr size_t partBytes = maximumDatagramBytes - headerBytes;

    uint32_t checksumOf(std::string_view part)
    {
        return static_cast<uint32_t>(
            hashBytes({ reinterpret_cast<uint8_t const*>(part.data()), part.size() }, formatMark));
    }

} // namespace

std::vector<std::string> splitIntoDatagrams(std::string_view message, uint32_t number)
{
    std::vector<std::string> datagrams;
    if (message.size() > maximumMessageBytes)
        return datagrams;
    auto const count = std::max<size_t>((message.size() + partBytes - 1) / partBytes, 1);
    datagrams.reserve(count);
    for (size_t index = 0; index < count; ++index) {
        auto const part = message.substr(index * partBytes, partBytes);
        datagram_header const header { formatMark, number, static_cast<uint16_t>(index), static_cast<uint16_t>(count),
            checksumOf(part) };
        std::string datagram(headerBytes, '\0');
        std::memcpy(datagram.data(), &header, headerBytes);
        datagram.append(part);
        datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

std::optional<std::string> datagram_assembler::add(
    ip_endpoint const& sender, std::string_view datagram, monotonic_time now)
{
    datagram_header header {};
    if (datagram.size() >= headerBytes)
        std::memcpy(&header, datagram.data(), headerBytes);
    auto const part = datagram.substr(std::min(headerBytes, datagram.size()));
    bool const isValid = header.mark == formatMark && header.index < header.count
        && header.count <= maximumMessageBytes / partBytes + 1 && header.checksum == checksumOf(part);
    if (!isValid) {
        ++m_refused;
        return std::nullopt;
    }
    if (header.count == 1)
        return std::string(part);
    std::erase_if(m_partial, [&](auto const& item) { return now - item.second.startedAt > assemblyLimit; });
    auto const key = std::pair(sender, header.number);
    auto known = m_partial.find(key);
    if (known == m_partial.end()) {
        if (m_partial.size() >= maximumPartialMessages)
            return std::nullopt;
        known = m_partial.emplace(key, partial_message { std::vector<std::string>(header.count), header.count, now })
                    .first;
    }
    auto& message = known->second;
    if (header.count != message.parts.size()) {
        ++m_refused;
        return std::nullopt;
    }
    auto& slot = message.parts[header.index];
    if (!slot.empty())
        return std::nullopt;
    slot = part;
    if (--message.missing > 0)
        return std::nullopt;
    std::string result;
    for (auto const& piece : message.parts)
        result += piece;
    m_partial.erase(known);
    return result;
}

} // namespace bilberryyard
