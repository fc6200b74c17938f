#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Appends integers in little-endian order and length-prefixed strings to a buffer.
class byte_writer {
public:
    byte_writer& u8(uint8_t value) { return integer(value, 1); }
    byte_writer& u32(uint32_t value) { return integer(value, 4); }
    byte_writer& u64(uint64_t value) { return integer(value, 8); }

    byte_writer& text(std::string_view value)
    {
        u32(static_cast<uint32_t>(value.size()));
        m_bytes.append(value);
        return *this;
    }

    /// Moves the encoded bytes out of the writer.
    std::string release() { return std::move(m_bytes); }

private:
    byte_writer& integer(uint64_t value, int size)
    {
        for (int i = 0; i < size; ++i)
            m_bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
        return *this;
    }

    std::string m_bytes;
};

/// Decodes the output of byte_writer. After a read past the end, every value is zero or empty and ok() is false.
class byte_reader {
public:
    explicit byte_reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    uint8_t u8() { return static_cast<uint8_t>(integer(1)); }
    uint32_t u32() { return static_cast<uint32_t>(integer(4)); }
    uint64_t u64() { return integer(8); }

    std::string text()
    {
        auto const size = u32();
        return std::string(consume(size));
    }

    /// @return The remaining bytes, which count as read afterwards.
    std::string_view rest() { return consume(m_bytes.size()); }

    bool ok() const { return m_ok; }
    /// @return Whether every read succeeded and no bytes remain.
    bool finished() const { return m_ok && m_bytes.empty(); }

private:
    std::string_view consume(size_t size)
    {
        if (!m_ok || size > m_bytes.size()) {
            m_ok = false;
            return {};
        }
        auto const result = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return result;
    }

    uint64_t integer(size_t size)
    {
        uint64_t value = 0;
        auto const bytes = consume(size);
        for (size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<uint64_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
        return value;
    }

    std::string_view m_bytes;
    bool m_ok = true;
};

} // namespace bilberryyard
