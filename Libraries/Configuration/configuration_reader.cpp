#include <Configuration/configuration_reader.h>

#include <Base/error_kind.h>
#include <Configuration/configuration_checks.h>
#include <Configuration/document_parser.h>
#include <Configuration/located_document.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <array>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr std::array<std::string_view, 4> rootKeys { "defaults", "zones", "services", "exceptions" };
    constexpr std::array<std::string_view, 2> zoneKeys { "name", "id" };
    constexpr std::array<std::string_view, 8> serviceKeys { "name", "id", "addresses", "port", "protocol",
        "connection_limit", "slots", "overrides" };
    constexpr std::array<std::string_view, 5> exceptionKeys { "target", "key", "value", "reason", "author" };

    template <typename Element>
    absl::StatusOr<std::vector<Element>> readList(
        located_document const& list, absl::StatusOr<Element> (*readElement)(located_document const&))
    {
        if (auto status = list.expectList(); !status.ok())
            return status;
        std::vector<Element> elements;
        for (size_t index = 0; index < list.value().items().size(); ++index) {
            auto element = readElement(list.item(index));
            if (!element.ok())
                return element.status();
            elements.push_back(*std::move(element));
        }
        return elements;
    }

    absl::StatusOr<setting_value> readValue(located_document const& node, setting_key const& key)
    {
        auto const text = node.asText();
        if (!text.ok())
            return text.status();
        auto value = parseSettingValue(key, *text);
        if (!value.ok())
            return node.inputError(messageOf(value.status()));
        return value;
    }

    absl::StatusOr<effective_settings> readDefaults(located_document const& node)
    {
        if (auto status = node.expectKeys(settingNames(isAllowedInDefaults)); !status.ok())
            return status;
        effective_settings settings;
        for (auto const& entry : node.value().members()) {
            auto const& key = *findSettingKey(entry.key);
            auto const value = readValue(node.member(entry), key);
            if (!value.ok())
                return value.status();
            settings = withSetting(settings, key, *value);
        }
        return settings;
    }

    absl::StatusOr<uint32_t> readId(located_document const& node)
    {
        if (!node.value().find("id"))
            return 0;
        auto const id = node.required("id")->asUnsigned(1, UINT32_MAX - 1);
        if (!id.ok())
            return id.status();
        return static_cast<uint32_t>(*id);
    }

    absl::StatusOr<std::string> readText(located_document const& node, std::string_view key)
    {
        auto const member = node.required(key);
        if (!member.ok())
            return member.status();
        return member->asText();
    }

    absl::StatusOr<zone_definition> readZone(located_document const& node)
    {
        if (auto status = node.expectKeys(zoneKeys); !status.ok())
            return status;
        auto name = readText(node, "name");
        if (!name.ok())
            return name.status();
        auto const id = readId(node);
        if (!id.ok())
            return id.status();
        return zone_definition { *std::move(name), zone_id { *id } };
    }

    absl::StatusOr<ip_address> readAddress(located_document const& node)
    {
        auto const text = node.asText();
        if (!text.ok())
            return text.status();
        auto const address = ip_address::parse(*text);
        if (!address.ok())
            return node.inputError(messageOf(address.status()));
        return *address;
    }

    absl::Status readOverrides(located_document const& node, std::vector<setting_entry>& overrides)
    {
        auto names = settingNames(isAllowedForService);
        // connection_limit and slots are given in the service itself, not in its overrides.
        std::erase_if(names, [](auto name) { return name == "connection_limit" || name == "slots"; });
        if (auto status = node.expectKeys(names); !status.ok())
            return status;
        for (auto const& entry : node.value().members()) {
            auto const value = readValue(node.member(entry), *findSettingKey(entry.key));
            if (!value.ok())
                return value.status();
            overrides.push_back({ entry.key, *value });
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::vector<setting_entry>> readServiceSettings(located_document const& node)
    {
        std::vector<setting_entry> settings;
        for (auto const& entry : node.value().members()) {
            if (entry.key == "overrides") {
                if (auto status = readOverrides(node.member(entry), settings); !status.ok())
                    return status;
            } else if (entry.key == "connection_limit" || entry.key == "slots") {
                auto const value = readValue(node.member(entry), *findSettingKey(entry.key));
                if (!value.ok())
                    return value.status();
                settings.push_back({ entry.key, *value });
            }
        }
        std::sort(settings.begin(), settings.end(),
            [](auto const& left, auto const& right) { return findSettingKey(left.key) < findSettingKey(right.key); });
        return settings;
    }

    absl::Status readPortAndProtocol(located_document const& node, service_definition& service)
    {
        auto const portNode = node.required("port");
        if (!portNode.ok())
            return portNode.status();
        auto const port = portNode->asUnsigned(1, UINT16_MAX);
        if (!port.ok())
            return port.status();
        service.port = static_cast<uint16_t>(*port);
        auto const protocolNode = node.required("protocol");
        if (!protocolNode.ok())
            return protocolNode.status();
        auto const protocol = protocolNode->asText();
        if (!protocol.ok())
            return protocol.status();
        if (*protocol != "tcp" && *protocol != "udp")
            return protocolNode->inputError("'" + protocol->substr(0, 64) + "' is not allowed; expected tcp or udp");
        service.protocol = *protocol == "tcp" ? ip_protocol::Tcp : ip_protocol::Udp;
        return absl::OkStatus();
    }

    absl::StatusOr<service_definition> readService(located_document const& node)
    {
        if (auto status = node.expectKeys(serviceKeys); !status.ok())
            return status;
        service_definition service;
        auto name = readText(node, "name");
        if (!name.ok())
            return name.status();
        service.name = *std::move(name);
        auto const id = readId(node);
        if (!id.ok())
            return id.status();
        service.id = service_id { *id };
        auto const addressNode = node.required("addresses");
        if (!addressNode.ok())
            return addressNode.status();
        auto addresses = readList<ip_address>(*addressNode, readAddress);
        if (!addresses.ok())
            return addresses.status();
        service.addresses = *std::move(addresses);
        if (auto status = readPortAndProtocol(node, service); !status.ok())
            return status;
        auto settings = readServiceSettings(node);
        if (!settings.ok())
            return settings.status();
        service.overrides = *std::move(settings);
        return service;
    }

    absl::StatusOr<configuration_exception> readExceptionNode(located_document const& node)
    {
        if (auto status = node.expectKeys(exceptionKeys); !status.ok())
            return status;
        std::array<std::string, exceptionKeys.size()> texts;
        for (size_t index = 0; index < exceptionKeys.size(); ++index) {
            auto text = readText(node, exceptionKeys[index]);
            if (!text.ok())
                return text.status();
            texts[index] = *std::move(text);
        }
        auto const target = exception_target::parse(texts[0]);
        if (!target.ok())
            return node.required("target")->inputError(messageOf(target.status()));
        auto const* key = findSettingKey(texts[1]);
        if (!key) {
            auto const names = settingNames(
                target->kind == exception_target_kind::Service ? isAllowedForService : isAllowedForServer);
            return node.required("key")->inputError(
                "unknown setting '" + texts[1].substr(0, 64) + "'" + nameHint(texts[1], names));
        }
        auto const value = parseSettingValue(*key, texts[2]);
        if (!value.ok())
            return node.required("value")->inputError(messageOf(value.status()));
        for (size_t const index : { size_t { 3 }, size_t { 4 } }) {
            if (auto const error = findTextError(texts[index]))
                return node.required(exceptionKeys[index])->inputError(*error);
        }
        return configuration_exception { *target, texts[1], *value, texts[3], texts[4] };
    }

    absl::StatusOr<configuration_parts> readParts(located_document const& root)
    {
        configuration_parts parts;
        for (auto const& entry : root.value().members()) {
            auto const node = root.member(entry);
            if (entry.key == "defaults") {
                auto const defaults = readDefaults(node);
                if (!defaults.ok())
                    return defaults.status();
                parts.defaults = *defaults;
            } else if (entry.key == "zones") {
                auto zones = readList<zone_definition>(node, readZone);
                if (!zones.ok())
                    return zones.status();
                parts.zones = *std::move(zones);
            } else if (entry.key == "services") {
                auto services = readList<service_definition>(node, readService);
                if (!services.ok())
                    return services.status();
                parts.services = *std::move(services);
            } else {
                auto exceptions = readList<configuration_exception>(node, readExceptionNode);
                if (!exceptions.ok())
                    return exceptions.status();
                parts.exceptions = *std::move(exceptions);
            }
        }
        return parts;
    }

} // namespace

configuration_reader::configuration_reader(std::string file)
    : m_file(std::move(file))
{
}

absl::StatusOr<configuration> configuration_reader::read(std::string_view text) const
{
    auto const tree = parseDocument(text, m_file);
    if (!tree.ok())
        return tree.status();
    return read(*tree);
}

absl::StatusOr<configuration> configuration_reader::read(document const& value) const
{
    located_document const root(m_file, value);
    if (auto status = root.expectKeys(rootKeys); !status.ok())
        return status;
    auto parts = readParts(root);
    if (!parts.ok())
        return parts.status();
    if (auto const error = findConfigurationError(*parts)) {
        auto const node = root.deepest(error->path);
        // The error may concern a key that the file does not contain, such as a default; its path is added then.
        return node.path() == error->path ? node.inputError(error->message)
                                          : root.deepest(error->path).inputError(error->path + ": " + error->message);
    }
    return configuration::create(*std::move(parts));
}

absl::StatusOr<configuration_exception> configuration_reader::readException(document const& value) const
{
    return readExceptionNode(located_document(m_file, value));
}

absl::StatusOr<configuration> readConfigurationFile(std::string const& path)
{
    auto const tree = parseDocumentFile(path);
    if (!tree.ok())
        return tree.status();
    return configuration_reader(path).read(*tree);
}

} // namespace bilberryyard
