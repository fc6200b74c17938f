#include <Base/error_kind.h>
#include <Configuration/configuration_difference.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/configuration_writer.h>
#include <Configuration/document_parser.h>
#include <Configuration/document_writer.h>
#include <cstdlib>

// Parses arbitrary documents and configurations. Writing an accepted one as YAML or JSON and parsing the result must
// give an equal value, because control hosts distribute the written form.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    using namespace bilberryyard;
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    if (auto const tree = parseDocument(text, "fuzz"); tree.ok()) {
        for (auto const& written : { writeYaml(*tree), writeJson(*tree) }) {
            auto const again = parseDocument(written, "again");
            if (!again.ok() || *again != *tree)
                std::abort();
        }
    }
    auto const value = configuration_reader("fuzz").read(text);
    if (!value.ok()) {
        if (!messageOf(value.status()).starts_with("fuzz:"))
            std::abort();
        return 0;
    }
    auto const written = writeConfiguration(*value);
    auto const again = configuration_reader("again").read(written);
    if (!again.ok() || *again != *value || writeConfiguration(*again) != written
        || !configuration_difference(*value, *again).isEmpty())
        std::abort();
    return 0;
}
