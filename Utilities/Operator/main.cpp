#include "command_line.h"
#include "operator_command.h"
#include "operator_session.h"
#include "response_printer.h"

#include <Base/error_kind.h>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace bilberryyard;

namespace {

std::string environmentVariable(std::string const& name)
{
    // getenv() is safe here because no thread changes the environment.
    auto const* value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
    return value ? value : "";
}

} // namespace

int main(int count, char** values)
{
    auto const line = command_line::parse(
        std::vector<std::string>(values + std::min(count, 1), values + count), environmentVariable);
    if (!line.ok()) {
        auto const& presentation = presentationFor(errorKindOf(line.status()));
        std::cerr << "bilberryyard: " << presentation.name << ": " << messageOf(line.status()) << '\n';
        return presentation.exitCode;
    }
    if (line->requestedOperation == operation::ShowHelp) {
        std::cout << command_line::usage();
        return 0;
    }
    if (line->requestedOperation == operation::ShowVersion) {
        std::cout << "bilberryyard " BILBERRYYARD_VERSION "\n";
        return 0;
    }
    return operator_command(
        *line, operator_session(line->endpoints, line->timeout), response_printer(std::cout, std::cerr))
        .run();
}
