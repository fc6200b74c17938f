#include "trace_samples.h"

#include <Base/error_kind.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace bilberryyard::test {

namespace {

    std::string writtenSample(std::string const& path)
    {
        auto writer = trace_writer::create(path, sampleHeader());
        BOOST_REQUIRE(writer.ok());
        for (auto const& input : sampleInputs())
            BOOST_REQUIRE(writer->write(input).ok());
        BOOST_REQUIRE(writer->finish().ok());
        return contentOf(path);
    }

} // namespace

// Guards against a field that is lost between writer and reader.
BOOST_AUTO_TEST_CASE(reads_what_was_written)
{
    auto const path = temporaryPath("trace-round-trip");
    writtenSample(path);
    auto const inputs = readAll(path);
    BOOST_REQUIRE(inputs.ok());
    BOOST_TEST((*inputs == sampleInputs()));
    BOOST_TEST((trace_reader::create(path)->header() == sampleHeader()));
    std::filesystem::remove(path);
}

// Guards against a truncated file that passes for a shorter trace, at every length.
BOOST_AUTO_TEST_CASE(truncation_at_any_offset_is_an_error_with_an_offset)
{
    auto const path = temporaryPath("trace-truncated");
    auto const content = writtenSample(path);
    for (size_t size = 0; size < content.size(); ++size) {
        writeContent(path, content.substr(0, size));
        auto const inputs = readAll(path);
        BOOST_REQUIRE_MESSAGE(!inputs.ok(), "a file cut at " << size << " was read");
        BOOST_TEST((errorKindOf(inputs.status()) == error_kind::DataLoss));
        BOOST_TEST((messageOf(inputs.status()).find("offset") != std::string::npos));
    }
    std::filesystem::remove(path);
}

// Guards against damage that is read as an input, at every byte.
BOOST_AUTO_TEST_CASE(damage_of_any_byte_is_an_error)
{
    auto const path = temporaryPath("trace-damaged");
    auto const content = writtenSample(path);
    for (size_t position = 0; position < content.size(); ++position) {
        auto damaged = content;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x41);
        writeContent(path, damaged);
        BOOST_REQUIRE_MESSAGE(!readAll(path).ok(), "damage at " << position << " was not noticed");
    }
    std::filesystem::remove(path);
}

// Guards against an input out of order, which a replay could not deliver in time.
BOOST_AUTO_TEST_CASE(an_input_before_its_predecessor_is_refused)
{
    auto const path = temporaryPath("trace-order");
    auto writer = trace_writer::create(path, sampleHeader());
    BOOST_REQUIRE(writer.ok());
    BOOST_REQUIRE(writer->write({ std::chrono::seconds { 2 }, dropped_inputs { 1 } }).ok());
    auto const status = writer->write({ std::chrono::seconds { 1 }, dropped_inputs { 1 } });
    BOOST_TEST((errorKindOf(status) == error_kind::InvalidArgument));
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_not_found)
{
    BOOST_TEST((errorKindOf(trace_reader::create("/nonexistent/trace").status()) == error_kind::NotFound));
}

} // namespace bilberryyard::test
