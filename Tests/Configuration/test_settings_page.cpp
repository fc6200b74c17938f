#include <Configuration/daemon_setting_key.h>
#include <Configuration/setting_key.h>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>
#include <vector>

using namespace bilberryyard;

namespace {

std::vector<std::string> rowsOfPage(std::string const& prefix)
{
    std::ifstream file(std::string(BILBERRYYARD_SOURCE_DIR) + "/docs/settings.md");
    std::vector<std::string> rows;
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(prefix))
            rows.push_back(line);
    }
    return rows;
}

std::string scopeText(setting_scope scope)
{
    switch (scope) {
    case setting_scope::Fleet:
        return "defaults";
    case setting_scope::Service:
        return "defaults, service";
    case setting_scope::Server:
        return "defaults, service, server";
    case setting_scope::ServerOnly:
        return "server";
    }
    return {};
}

void compareRows(std::vector<std::string> const& page, std::vector<std::string> const& code)
{
    BOOST_TEST(page.size() == code.size());
    for (size_t index = 0; index < std::min(page.size(), code.size()); ++index)
        BOOST_TEST(page[index] == code[index]);
}

// Guards against keys, defaults or ranges on the page that differ from those of the daemon, and against keys that are
// missing on the page.
BOOST_AUTO_TEST_CASE(settings_page_lists_exactly_the_shared_settings)
{
    std::vector<std::string> code;
    for (auto const& key : allSettingKeys())
        code.push_back("| `" + std::string(key.name) + "` | " + scopeText(key.scope) + " | "
            + formatSettingValue(settingOf({}, key)) + " | " + formatSettingValue(key.minimum) + " to "
            + formatSettingValue(key.maximum) + " | " + std::string(key.meaning) + " |");
    compareRows(rowsOfPage("| `"), code);
}

BOOST_AUTO_TEST_CASE(settings_page_lists_exactly_the_daemon_settings)
{
    std::vector<std::string> code;
    for (auto const& key : allDaemonSettingKeys())
        code.push_back("| **`" + std::string(key.path) + "`** | " + std::string(key.required) + " | "
            + std::string(key.meaning) + " |");
    compareRows(rowsOfPage("| **`"), code);
}

} // namespace
