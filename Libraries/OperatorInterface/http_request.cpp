#include <OperatorInterface/http_request.h>

#include <charconv>

namespace bilberryyard {

std::string http_request::header(std::string const& name) const
{
    auto const entry = headers.find(name);
    return entry == headers.end() ? std::string() : entry->second;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string result;
    for (char const character : text) {
        bool const unreserved = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || std::string_view("-._~").find(character) != std::string::npos;
        if (unreserved) {
            result += character;
            continue;
        }
        auto const byte = static_cast<uint8_t>(character);
        result += '%';
        result += hexDigits[byte >> 4];
        result += hexDigits[byte & 0xf];
    }
    return result;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (size_t position = 0; position < text.size(); ++position) {
        char const character = text[position];
        if (character == '%' && position + 2 < text.size()) {
            uint8_t byte = 0;
            auto const* const digits = text.data() + position + 1;
            auto const [end, error] = std::from_chars(digits, digits + 2, byte, 16);
            if (error == std::errc() && end == digits + 2) {
                result += static_cast<char>(byte);
                position += 2;
                continue;
            }
        }
        result += character == '+' ? ' ' : character;
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> parameters;
    while (!text.empty()) {
        size_t const end = text.find('&');
        std::string_view const parameter = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        size_t const equals = parameter.find('=');
        if (parameter.empty())
            continue;
        auto const value = equals == std::string_view::npos ? std::string_view() : parameter.substr(equals + 1);
        parameters.emplace(percentDecode(parameter.substr(0, equals)), percentDecode(value));
    }
    return parameters;
}

} // namespace bilberryyard
