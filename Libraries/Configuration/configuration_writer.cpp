#include <Configuration/configuration_writer.h>

#include <Configuration/document_writer.h>
#include <utility>

namespace bilberryyard {

namespace {

    document valueDocument(setting_value const& value)
    {
        auto const text = formatSettingValue(value);
        return isJsonLiteral(text) ? document::number(text) : document::text(text);
    }

    void addId(std::vector<document_member>& members, uint32_t id)
    {
        if (id != 0)
            members.push_back({ "id", document::unsignedInteger(id) });
    }

    document zoneDocument(zone_definition const& zone)
    {
        std::vector<document_member> members { { "name", document::text(zone.name) } };
        addId(members, zone.id.value);
        return document::map(std::move(members));
    }

    document serviceDocument(service_definition const& service)
    {
        std::vector<document_member> members { { "name", document::text(service.name) } };
        addId(members, service.id.value);
        std::vector<document> addresses;
        for (auto const& address : service.addresses)
            addresses.push_back(document::text(address.toText()));
        members.push_back({ "addresses", document::list(std::move(addresses)) });
        members.push_back({ "port", document::unsignedInteger(service.port) });
        members.push_back({ "protocol", document::text(service.protocol == ip_protocol::Udp ? "udp" : "tcp") });
        std::vector<document_member> overrides;
        for (auto const& entry : service.overrides) {
            bool const isServiceKey = entry.key == "connection_limit" || entry.key == "slots";
            (isServiceKey ? members : overrides).push_back({ entry.key, valueDocument(entry.value) });
        }
        if (!overrides.empty())
            members.push_back({ "overrides", document::map(std::move(overrides)) });
        return document::map(std::move(members));
    }

    template <typename Element>
    document listOf(std::vector<Element> const& elements, document (*write)(Element const&))
    {
        std::vector<document> items;
        items.reserve(elements.size());
        for (auto const& element : elements)
            items.push_back(write(element));
        return document::list(std::move(items));
    }

} // namespace

document toDocument(effective_settings const& settings)
{
    std::vector<document_member> members;
    for (auto const& key : allSettingKeys())
        members.push_back({ std::string(key.name), valueDocument(settingOf(settings, key)) });
    return document::map(std::move(members));
}

document toDocument(configuration_exception const& value)
{
    return document::map({
        { "target", document::text(value.target.toText()) },
        { "key", document::text(value.key) },
        { "value", valueDocument(value.value) },
        { "reason", document::text(value.reason) },
        { "author", document::text(value.author) },
    });
}

document toDocument(configuration const& value)
{
    std::vector<document_member> defaults;
    for (auto const& key : allSettingKeys()) {
        if (isAllowedInDefaults(key.scope))
            defaults.push_back({ std::string(key.name), valueDocument(settingOf(value.defaults(), key)) });
    }
    return document::map({
        { "defaults", document::map(std::move(defaults)) },
        { "zones", listOf<zone_definition>(value.zones(), zoneDocument) },
        { "services", listOf<service_definition>(value.services(), serviceDocument) },
        { "exceptions", listOf<configuration_exception>(value.exceptions(), toDocument) },
    });
}

std::string writeConfiguration(configuration const& value) { return writeYaml(toDocument(value)); }

} // namespace bilberryyard
