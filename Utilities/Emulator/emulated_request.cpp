#include "emulated_request.h"

#include <Base/hashing.h>
#include <array>
#include <cstring>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr std::array<std::string_view, 3> kindNames { "ORDER", "DOCUMENT", "FEED" };

    std::optional<std::string> extractLine(std::string& buffer)
    {
        auto const end = buffer.find('\n');
        if (end == std::string::npos)
            return std::nullopt;
        auto line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        return line;
    }

    std::optional<request_kind> kindByName(std::string_view name)
    {
        for (size_t index = 0; index < kindNames.size(); ++index) {
            if (kindNames[index] == name)
                return static_cast<request_kind>(index);
        }
        return std::nullopt;
    }

} // namespace

std::string emulated_request::encode() const
{
    std::ostringstream line;
    line << kindNames[static_cast<size_t>(kind)] << ' ' << id << ' ' << size << ' ' << interval.count() << '\n';
    return line.str();
}

std::optional<emulated_request> emulated_request::decode(std::string& buffer)
{
    auto const line = extractLine(buffer);
    if (!line)
        return std::nullopt;
    std::istringstream stream(*line);
    std::string name;
    emulated_request request;
    int64_t interval = 0;
    if (!(stream >> name >> request.id >> request.size >> interval))
        return std::nullopt;
    auto const kind = kindByName(name);
    if (!kind)
        return std::nullopt;
    request.kind = *kind;
    request.interval = std::chrono::milliseconds(interval);
    return request;
}

std::string response_header::encode() const
{
    return service + " " + server + " " + std::to_string(id) + " " + std::to_string(size) + "\n";
}

std::optional<response_header> response_header::decode(std::string& buffer)
{
    auto const line = extractLine(buffer);
    if (!line)
        return std::nullopt;
    std::istringstream stream(*line);
    response_header header;
    if (!(stream >> header.service >> header.server >> header.id >> header.size))
        return std::nullopt;
    return header;
}

std::string responsePayload(uint64_t id, uint32_t size)
{
    std::string payload(size, '\0');
    for (uint32_t offset = 0; offset < size; offset += sizeof(uint64_t)) {
        auto const word = hashPair(id, offset);
        std::memcpy(payload.data() + offset, &word, std::min<size_t>(sizeof(word), size - offset));
    }
    return payload;
}

std::string feedUpdate(uint64_t id, uint64_t updateIndex)
{
    auto text = std::to_string(id) + " " + std::to_string(updateIndex);
    text.resize(feedUpdateSize - 1, ' ');
    return text + "\n";
}

} // namespace bilberryyard
