#include <Configuration/versioned_document.h>

#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    constexpr size_t versionSize = sizeof(uint64_t);

} // namespace

std::string versioned_document::encode() const
{
    std::string payload;
    payload.reserve(versionSize + bytes.size());
    for (size_t shift = 0; shift < versionSize; ++shift)
        payload.push_back(static_cast<char>(version >> (8 * shift)));
    return payload.append(bytes);
}

absl::StatusOr<versioned_document> versioned_document::decode(std::string_view payload)
{
    if (payload.size() < versionSize)
        return makeError(error_kind::DataLoss, "a stored configuration is shorter than its 8-byte version field");
    versioned_document result;
    for (size_t shift = 0; shift < versionSize; ++shift)
        result.version |= static_cast<uint64_t>(static_cast<uint8_t>(payload[shift])) << (8 * shift);
    result.bytes = payload.substr(versionSize);
    return result;
}

} // namespace bilberryyard
