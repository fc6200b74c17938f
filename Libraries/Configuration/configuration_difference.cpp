#include <Configuration/configuration_difference.h>

#include <algorithm>
#include <map>
#include <utility>

namespace bilberryyard {

namespace {

    using fields = std::vector<std::pair<std::string, std::string>>;

    std::string joinFields(fields const& values)
    {
        std::string text;
        for (auto const& [name, value] : values)
            text.append(text.empty() ? "" : ", ").append(name).append(" ").append(value);
        return text;
    }

    std::string idText(uint32_t id) { return id == 0 ? "unassigned" : std::to_string(id); }

    fields fieldsOf(zone_definition const& zone) { return { { "name", zone.name }, { "id", idText(zone.id.value) } }; }

    fields fieldsOf(service_definition const& service)
    {
        std::string addresses;
        for (auto const& address : service.addresses)
            addresses += (addresses.empty() ? "" : " ") + address.toText();
        fields values {
            { "name", service.name },
            { "id", idText(service.id.value) },
            { "addresses", addresses },
            { "port", std::to_string(service.port) },
            { "protocol", service.protocol == ip_protocol::Udp ? "udp" : "tcp" },
        };
        for (auto const& entry : service.overrides)
            values.emplace_back(entry.key, formatSettingValue(entry.value));
        return values;
    }

    fields fieldsOf(configuration_exception const& exception)
    {
        return { { "value", formatSettingValue(exception.value) }, { "reason", exception.reason },
            { "author", exception.author } };
    }

    std::string nameOf(zone_definition const& zone) { return zone.name; }
    std::string nameOf(service_definition const& service) { return service.name; }
    std::string nameOf(configuration_exception const& exception)
    {
        return exception.target.toText() + "." + exception.key;
    }

    template <typename Definition>
    bool isSame(Definition const& left, Definition const& right)
    {
        if constexpr (std::is_same_v<Definition, configuration_exception>)
            return left.target == right.target && left.key == right.key;
        else if (left.id.value != 0 && right.id.value != 0)
            return left.id == right.id;
        else
            return left.name == right.name;
    }

    void compareFields(
        std::string const& path, fields const& before, fields const& after, std::vector<difference_entry>& entries)
    {
        auto const valueIn = [](fields const& values, std::string const& name) {
            auto const entry
                = std::find_if(values.begin(), values.end(), [&](auto const& field) { return field.first == name; });
            return entry == values.end() ? nullptr : &entry->second;
        };
        auto const prefix = path + ".";
        for (auto const& [name, value] : before) {
            auto const* other = valueIn(after, name);
            if (!other)
                entries.push_back({ difference_kind::Removed, prefix + name, value, {} });
            else if (*other != value)
                entries.push_back({ difference_kind::Changed, prefix + name, value, *other });
        }
        for (auto const& [name, value] : after) {
            if (!valueIn(before, name))
                entries.push_back({ difference_kind::Added, prefix + name, {}, value });
        }
    }

    // Finds the counterpart of a definition in the other configuration. Uses an index, because a configuration may
    // contain thousands of services.
    template <typename Definition>
    class counterpart_index {
    public:
        explicit counterpart_index(std::vector<Definition> const& definitions)
        {
            for (auto const& definition : definitions) {
                m_byName.emplace(nameOf(definition), &definition);
                if constexpr (!std::is_same_v<Definition, configuration_exception>) {
                    if (definition.id.value != 0)
                        m_byId.emplace(definition.id.value, &definition);
                }
            }
        }

        Definition const* find(Definition const& original) const
        {
            if constexpr (!std::is_same_v<Definition, configuration_exception>) {
                auto const byId = m_byId.find(original.id.value);
                if (byId != m_byId.end())
                    return byId->second;
            }
            auto const byName = m_byName.find(nameOf(original));
            return byName != m_byName.end() && isSame(*byName->second, original) ? byName->second : nullptr;
        }

    private:
        std::map<std::string, Definition const*> m_byName;
        std::map<uint32_t, Definition const*> m_byId;
    };

    template <typename Definition>
    void compareLists(std::string const& list, std::vector<Definition> const& before,
        std::vector<Definition> const& after, std::vector<difference_entry>& entries)
    {
        counterpart_index<Definition> const afterIndex(after);
        for (auto const& oldDefinition : before) {
            auto const path = list + "." + nameOf(oldDefinition);
            if (auto const* counterpart = afterIndex.find(oldDefinition))
                compareFields(path, fieldsOf(oldDefinition), fieldsOf(*counterpart), entries);
            else
                entries.push_back({ difference_kind::Removed, path, joinFields(fieldsOf(oldDefinition)), {} });
        }
        counterpart_index<Definition> const beforeIndex(before);
        for (auto const& newDefinition : after) {
            if (!beforeIndex.find(newDefinition))
                entries.push_back({ difference_kind::Added, list + "." + nameOf(newDefinition), {},
                    joinFields(fieldsOf(newDefinition)) });
        }
    }

} // namespace

std::string difference_entry::toText() const
{
    switch (kind) {
    case difference_kind::Added:
        return "+ " + path + ": " + after;
    case difference_kind::Removed:
        return "- " + path + ": " + before;
    case difference_kind::Changed:
        return "~ " + path + ": " + before + " -> " + after;
    }
    return {};
}

configuration_difference::configuration_difference(configuration const& before, configuration const& after)
{
    for (auto const& key : allSettingKeys()) {
        auto const oldValue = formatSettingValue(settingOf(before.defaults(), key));
        auto const newValue = formatSettingValue(settingOf(after.defaults(), key));
        if (oldValue != newValue)
            m_entries.push_back({ difference_kind::Changed, "defaults." + std::string(key.name), oldValue, newValue });
    }
    compareLists("zones", before.zones(), after.zones(), m_entries);
    compareLists("services", before.services(), after.services(), m_entries);
    compareLists("exceptions", before.exceptions(), after.exceptions(), m_entries);
    if (m_entries.empty() && before != after)
        m_entries.push_back({ difference_kind::Changed, "order of entries", "as before", "as submitted" });
}

std::vector<std::string> configuration_difference::lines() const
{
    std::vector<std::string> texts;
    texts.reserve(m_entries.size());
    for (auto const& entry : m_entries)
        texts.push_back(entry.toText());
    return texts;
}

} // namespace bilberryyard
