#include <Transport/datagram_fragments.h>

#include <Base/hashing.h>
#include <algorithm>
#include <cstring>

namespace bilberryyard {

namespace {

    constexpr uint32_t formatMagic = 0x42594431; // "BYD1"
    // A message that is incomplete after this time stays incomplete: senders repeat whole messages, each time with a
    // new identifier, and no single fragments.
    constexpr std::chrono::seconds reassemblyTimeout { 2 };
    constexpr size_t maximumPartialMessages = 256;

    struct datagram_header {
        uint32_t magic;
        uint32_t messageId;
        uint16_t index;
        uint16_t count;
        /// Checksum of the fragment. The UDP checksum alone has only 16 bits.
        uint32_t checksum;
    };
    constexpr size_t headerBytes = sizeof(datagram_header);
    constexpr size_t fragmentBytes = maximumDatagramBytes - headerBytes;

    uint32_t checksumOf(std::string_view fragment)
    {
        return static_cast<uint32_t>(
            hashBytes({ reinterpret_cast<uint8_t const*>(fragment.data()), fragment.size() }, formatMagic));
    }

} // namespace

std::vector<std::string> splitIntoDatagrams(std::string_view message, uint32_t messageId)
{
    std::vector<std::string> datagrams;
    if (message.size() > maximumMessageBytes)
        return datagrams;
    auto const count = std::max<size_t>((message.size() + fragmentBytes - 1) / fragmentBytes, 1);
    datagrams.reserve(count);
    for (size_t index = 0; index < count; ++index) {
        auto const fragment = message.substr(index * fragmentBytes, fragmentBytes);
        datagram_header const header { formatMagic, messageId, static_cast<uint16_t>(index),
            static_cast<uint16_t>(count), checksumOf(fragment) };
        std::string datagram(headerBytes, '\0');
        std::memcpy(datagram.data(), &header, headerBytes);
        datagram.append(fragment);
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
    auto const fragment = datagram.substr(std::min(headerBytes, datagram.size()));
    bool const isValid = header.magic == formatMagic && header.index < header.count
        && header.count <= maximumMessageBytes / fragmentBytes + 1
        && header.checksum == checksumOf(fragment)
        // An empty slot marks a missing fragment, so an empty fragment would be counted each time that it arrives.
        && (header.count == 1 || !fragment.empty());
    if (!isValid) {
        ++m_refused;
        return std::nullopt;
    }
    if (header.count == 1)
        return std::string(fragment);
    std::erase_if(
        m_partialMessages, [&](auto const& item) { return now - item.second.firstReceivedAt > reassemblyTimeout; });
    auto const key = std::pair(sender, header.messageId);
    auto entry = m_partialMessages.find(key);
    if (entry == m_partialMessages.end()) {
        if (m_partialMessages.size() >= maximumPartialMessages)
            return std::nullopt;
        entry = m_partialMessages
                    .emplace(key, partial_message { std::vector<std::string>(header.count), header.count, now })
                    .first;
    }
    auto& message = entry->second;
    if (header.count != message.fragments.size()) {
        ++m_refused;
        return std::nullopt;
    }
    auto& slot = message.fragments[header.index];
    if (!slot.empty())
        return std::nullopt;
    slot = fragment;
    if (--message.missingCount > 0)
        return std::nullopt;
    std::string result;
    for (auto const& content : message.fragments)
        result += content;
    m_partialMessages.erase(entry);
    return result;
}

} // namespace bilberryyard
