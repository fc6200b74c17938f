#include "trace_samples.h"

#include <Base/error_kind.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace bilberryyard::test {

namespace {

    std::string writeSample(std::string const& path)
    {
        auto writer = trace_writer::create(path, sampleHeader());
        BOOST_REQUIRE(writer.ok());
        for (auto const& input : sampleInputs())
            BOOST_REQUIRE(writer->write(input).ok());
        BOOST_REQUIRE(writer->finish().ok());
        return contentOf(path);
    }

} // namespace

// Guards against fields that the codec does not write or read.
BOOST_AUTO_TEST_CASE(reader_returns_written_header_and_inputs)
{
    auto const path = temporaryPath("trace-round-trip");
    writeSample(path);
    auto const inputs = readAll(path);
    BOOST_REQUIRE(inputs.ok());
    BOOST_TEST((*inputs == sampleInputs()));
    BOOST_TEST((trace_reader::create(path)->header() == sampleHeader()));
    std::filesystem::remove(path);
}

// Guards against a truncated file being read as a shorter trace. Truncates a file at every length.
BOOST_AUTO_TEST_CASE(truncated_file_is_reported_with_offset)
{
    auto const path = temporaryPath("trace-truncated");
    auto const content = writeSample(path);
    for (size_t size = 0; size < content.size(); ++size) {
        writeContent(path, content.substr(0, size));
        auto const inputs = readAll(path);
        BOOST_REQUIRE_MESSAGE(!inputs.ok(), "a file truncated to " << size << " bytes was read without an error");
        BOOST_TEST((errorKindOf(inputs.status()) == error_kind::DataLoss));
        BOOST_TEST((messageOf(inputs.status()).find("offset") != std::string::npos));
    }
    std::filesystem::remove(path);
}

// Guards against a damaged record being decoded as an input. Changes every byte of a file, one at a time.
BOOST_AUTO_TEST_CASE(changed_byte_is_reported)
{
    auto const path = temporaryPath("trace-damaged");
    auto const content = writeSample(path);
    for (size_t position = 0; position < content.size(); ++position) {
        auto damaged = content;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x41);
        writeContent(path, damaged);
        BOOST_REQUIRE_MESSAGE(!readAll(path).ok(), "a changed byte at offset " << position << " was not reported");
    }
    std::filesystem::remove(path);
}

// Guards against inputs out of order, which a replay could not deliver at their time.
BOOST_AUTO_TEST_CASE(input_earlier_than_its_predecessor_is_rejected)
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
