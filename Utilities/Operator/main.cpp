#include "answer_printer.h"
#include "command_line.h"
#include "operator_command.h"
#include "operator_session.h"

#include <Base/error_kind.h>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace bilberryyard;

namespace {

std::string environmentVariable(std::string const& name)
{
    // No thread changes the environment.
    auto const* value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
    return value ? value : "";
}

} // namespace

int main(int count, char** values)
{
    auto const line = command_line::parse(
        std::vector<std::string>(values + std::min(count, 1), values + count), environmentVariable);
    if (!line.ok()) {
        auto const& kind = presentationFor(errorKindOf(line.status()));
        std::cerr << "bilberryyard: " << kind.name << ": " << messageOf(line.status()) << '\n';
        return kind.exitCode;
    }
    if (line->what == operation::ShowHelp) {
        std::cout << command_line::usage();
        return 0;
    }
    if (line->what == operation::ShowVersion) {
        std::cout << "bilberryyard " BILBERRYYARD_VERSION "\n";
        return 0;
    }
    return operator_command(
        *line, operator_session(line->endpoints, line->timeout), answer_printer(std::cout, std::cerr))
        .run();
}
