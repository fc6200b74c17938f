#include "memory_file_system.h"
#include <Consensus/member_storage.h>
#include <Consensus/posix_file_system.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>

using namespace bilberryyard;

namespace {

using storage = member_storage<memory_file_system>;
constexpr member_identity identity { 5, member_id { 1 } };

cluster_configuration bootstrapConfiguration()
{
    return cluster_configuration::create({ { member_id { 1 }, member_role::Voter, {} } }).value();
}

log_entry entry(log_index index)
{
    return { 1 + index / 8, index, entry_kind::Application, std::string(index % 40, 'p') };
}

persist_request append(log_index first, log_index last)
{
    persist_request request;
    request.vote = vote_record { 9, member_id { 1 } };
    for (auto index = first; index <= last; ++index)
        request.entries.push_back(entry(index));
    return request;
}

persist_request snapshotAt(log_index index, log_continuation continuation)
{
    persist_request request;
    request.snapshot = std::make_shared<log_snapshot const>(
        log_snapshot { index, entry(index).term, bootstrapConfiguration(), "state" });
    request.continuation = continuation;
    return request;
}

absl::StatusOr<storage> open(memory_file_system& files) { return storage::create(files, "data", { 300 }); }

/// @return A folder with a snapshot at index 6, entries up to 24 in several segments, and a truncation at index 12.
memory_file_system makeSmallFolder()
{
    memory_file_system files;
    auto opened = open(files).value();
    BOOST_REQUIRE(opened.initialize(identity, bootstrapConfiguration()).ok());
    BOOST_REQUIRE(opened.execute(append(1, 10)).ok());
    BOOST_REQUIRE(opened.execute(snapshotAt(6, log_continuation::Keep)).ok());
    auto divergent = append(11, 14);
    for (auto& other : divergent.entries)
        other.payload = "divergent";
    BOOST_REQUIRE(opened.execute(divergent).ok());
    auto replacement = append(12, 20);
    replacement.truncateFrom = 12;
    BOOST_REQUIRE(opened.execute(replacement).ok());
    BOOST_REQUIRE(opened.execute(append(21, 24)).ok());
    return files;
}

std::string const lastSegment(memory_file_system const& files)
{
    std::string last;
    for (auto const& path : files.paths()) {
        if (path.find("segment-") != std::string::npos)
            last = path;
    }
    return last;
}

bool isSame(restored_state const& left, restored_state const& right)
{
    return left.vote == right.vote && *left.snapshot == *right.snapshot && left.entries == right.entries;
}

bool isPrefix(std::vector<log_entry> const& prefix, std::vector<log_entry> const& full)
{
    return prefix.size() <= full.size() && std::equal(prefix.begin(), prefix.end(), full.begin());
}

BOOST_AUTO_TEST_SUITE(storage_damage)

// Guards against damaged bytes that are read as valid data, or cut off although they were acknowledged.
BOOST_AUTO_TEST_CASE(every_flipped_byte_is_reported_or_harmless)
{
    auto files = makeSmallFolder();
    auto const original = open(files).value().releaseRestoredState();
    size_t harmless = 0;
    for (auto const& path : files.paths()) {
        if (path == "data/lock")
            continue;
        for (size_t offset = 0; offset < files.contentOf(path).size(); ++offset) {
            auto damaged = makeSmallFolder();
            damaged.contentOf(path)[offset] = static_cast<char>(~damaged.contentOf(path)[offset]);
            auto opened = open(damaged);
            if (opened.ok()) {
                ++harmless;
                BOOST_TEST(isSame(opened->releaseRestoredState(), original), path << " offset " << offset);
                continue;
            }
            BOOST_CHECK(errorKindOf(opened.status()) == error_kind::DataLoss);
            auto const message = messageOf(opened.status());
            BOOST_TEST(message.find(path + " is damaged at offset ") != std::string::npos, message);
        }
    }
    // Only the sync mark after the last record may be damaged without losing data.
    BOOST_TEST(harmless == recordHeaderSize);
}

// Guards against a truncated file that is accepted with a gap or with entries that were not written.
BOOST_AUTO_TEST_CASE(truncation_at_every_offset_gives_a_prefix_or_an_error)
{
    auto files = makeSmallFolder();
    auto const original = open(files).value().releaseRestoredState();
    for (auto const& path : files.paths()) {
        if (path == "data/lock")
            continue;
        auto const size = files.contentOf(path).size();
        for (size_t length = 0; length < size; ++length) {
            auto damaged = makeSmallFolder();
            damaged.contentOf(path).resize(length);
            auto opened = open(damaged);
            if (!opened.ok()) {
                BOOST_CHECK(errorKindOf(opened.status()) == error_kind::DataLoss);
                continue;
            }
            auto const restored = opened->releaseRestoredState();
            BOOST_CHECK(restored.vote == original.vote);
            // An earlier segment may lack only the sync mark at its end.
            auto const entriesMatch = path == lastSegment(files) ? isPrefix(restored.entries, original.entries)
                                                                 : restored.entries == original.entries;
            BOOST_TEST(entriesMatch, path << " length " << length);
        }
    }
}

struct missing_row {
    char const* prefix;
    char const* message;
};
std::ostream& operator<<(std::ostream& stream, missing_row const& row) { return stream << row.prefix; }
missing_row const missingRows[] = {
    { "data/identity", "identity is missing" },
    { "data/vote", "vote is missing" },
    { "data/snapshot-", "has no snapshot" },
    { "data/segment-", "lost all segments" },
};

// Guards against a folder with lost files that starts with an empty log or votes again in an earlier term.
BOOST_DATA_TEST_CASE(missing_file_is_data_loss, missingRows, row)
{
    auto files = makeSmallFolder();
    for (auto const& path : files.paths()) {
        if (path.starts_with(row.prefix))
            BOOST_REQUIRE(files.remove(path).ok());
    }
    auto const status = open(files).status();
    BOOST_CHECK(errorKindOf(status) == error_kind::DataLoss);
    BOOST_TEST(messageOf(status).find(row.message) != std::string::npos, messageOf(status));
}

// Guards against a segment that is lost from the middle.
BOOST_AUTO_TEST_CASE(missing_middle_segment_is_named)
{
    auto files = makeSmallFolder();
    auto const sequence = segmentSequence(lastSegment(files).substr(5)).value();
    auto const path = "data/" + segmentFileName(sequence - 1);
    BOOST_REQUIRE(files.remove(path).ok());
    BOOST_TEST(messageOf(open(files).status()) == path + " is missing");
}

// Guards against acknowledging after a failed write or sync, and against losing earlier data because of it.
BOOST_DATA_TEST_CASE(write_error_is_reported_and_final, boost::unit_test::data::xrange(12), operations)
{
    auto files = makeSmallFolder();
    auto const original = open(files).value().releaseRestoredState();
    {
        auto opened = open(files).value();
        files.failAfter(static_cast<uint64_t>(operations));
        auto const status = opened.execute(append(25, 30));
        files.recover();
        if (status.ok())
            return;
        BOOST_CHECK(errorKindOf(status) == error_kind::ResourceExhausted);
        BOOST_CHECK(opened.execute(append(25, 30)) == status);
    }
    auto const restored = open(files).value().releaseRestoredState();
    BOOST_TEST(isPrefix(original.entries, restored.entries));
}

// Guards against losing synced data in a power failure.
BOOST_DATA_TEST_CASE(power_failure_keeps_synced_data, boost::unit_test::data::xrange(200), seed)
{
    seeded_random random(static_cast<uint64_t>(seed));
    auto files = makeSmallFolder();
    auto const original = open(files).value().releaseRestoredState();
    {
        auto opened = open(files).value();
        files.failAfter(random.below(10));
        static_cast<void>(opened.execute(append(25, 30)));
    }
    files.recover();
    files.losePower(random);
    auto reopened = open(files);
    BOOST_REQUIRE_MESSAGE(reopened.ok(), messageOf(reopened.status()));
    auto const restored = reopened->releaseRestoredState();
    BOOST_TEST(isPrefix(original.entries, restored.entries));
    BOOST_TEST(reopened->execute(append(restored.entries.back().index + 1, 40)).ok());
}

// Guards against entries that are read from the page cache after a process crash, acknowledged, and then lost in a
// power failure because they were never synced.
BOOST_DATA_TEST_CASE(entries_read_back_are_durable, boost::unit_test::data::xrange(50), seed)
{
    seeded_random random(static_cast<uint64_t>(seed));
    auto files = makeSmallFolder();
    {
        auto opened = open(files).value();
        files.failAfter(random.below(8));
        static_cast<void>(opened.execute(append(25, 30)));
    }
    files.recover();
    auto const seen = open(files).value().releaseRestoredState();
    files.losePower(random);
    BOOST_TEST(isSame(open(files).value().releaseRestoredState(), seen));
}

// Guards against a crash between saving a received snapshot and restarting the log after it.
BOOST_DATA_TEST_CASE(interrupted_snapshot_installation_is_completed, boost::unit_test::data::make({ 18, 40 }), index)
{
    auto files = makeSmallFolder();
    auto request = snapshotAt(static_cast<log_index>(index), log_continuation::Restart);
    auto snapshot = *request.snapshot;
    snapshot.term = 8;
    request.snapshot = std::make_shared<log_snapshot const>(snapshot);
    {
        auto opened = open(files).value();
        // Write, sync, rename and folder sync of the snapshot succeed; the write to the log fails.
        files.failAfter(4);
        BOOST_REQUIRE(!opened.execute(request).ok());
        files.recover();
    }
    auto opened = open(files).value();
    auto const restored = opened.releaseRestoredState();
    BOOST_TEST(restored.snapshot->index == static_cast<log_index>(index));
    BOOST_TEST(restored.entries.empty());
    BOOST_TEST(opened.execute(append(static_cast<log_index>(index) + 1, 50)).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(storage_use)

// Guards against segments that are not deleted after a snapshot.
BOOST_AUTO_TEST_CASE(segments_behind_a_snapshot_are_deleted)
{
    memory_file_system files;
    {
        auto opened = open(files).value();
        BOOST_REQUIRE(opened.initialize(identity, bootstrapConfiguration()).ok());
        for (log_index index = 1; index <= 100; index += 5)
            BOOST_REQUIRE(opened.execute(append(index, index + 4)).ok());
        auto const before = opened.segmentCount();
        BOOST_REQUIRE(opened.execute(snapshotAt(90, log_continuation::Keep)).ok());
        BOOST_TEST(opened.segmentCount() + 5 < before);
    }
    auto const restored = open(files).value().releaseRestoredState();
    BOOST_TEST(restored.snapshot->index == 90u);
    BOOST_TEST(restored.entries.back().index == 100u);
    BOOST_TEST(restored.entries.front().index <= 91u);
}

// Guards against an identity that changes or exists without having been assigned.
BOOST_AUTO_TEST_CASE(identity_is_assigned_once)
{
    memory_file_system files;
    {
        auto opened = open(files).value();
        BOOST_TEST(!opened.identity().has_value());
        BOOST_REQUIRE(opened.initialize(identity, bootstrapConfiguration()).ok());
        BOOST_CHECK(
            errorKindOf(opened.initialize(identity, bootstrapConfiguration())) == error_kind::FailedPrecondition);
    }
    BOOST_CHECK(open(files).value().identity() == std::optional(identity));
    files.loseDisk();
    BOOST_TEST(!open(files).value().identity().has_value());
}

// Guards against two processes that write to the same folder, and against errors in the use of the POSIX calls.
BOOST_AUTO_TEST_CASE(posix_folder_is_locked_and_read_back)
{
    std::string folder = std::filesystem::temp_directory_path() / "consensus-XXXXXX";
    BOOST_REQUIRE(::mkdtemp(folder.data()) != nullptr);
    posix_file_system files;
    using posix_storage = member_storage<posix_file_system>;
    {
        auto opened = posix_storage::create(files, folder, { 300 }).value();
        BOOST_REQUIRE(opened.initialize(identity, bootstrapConfiguration()).ok());
        BOOST_REQUIRE(opened.execute(append(1, 40)).ok());
        BOOST_REQUIRE(opened.execute(snapshotAt(20, log_continuation::Keep)).ok());
        auto const second = posix_storage::create(files, folder, { 300 });
        BOOST_CHECK(errorKindOf(second.status()) == error_kind::FailedPrecondition);
    }
    auto const restored = posix_storage::create(files, folder, { 300 }).value().releaseRestoredState();
    BOOST_TEST(restored.entries.back().index == 40u);
    BOOST_TEST(restored.snapshot->index == 20u);
    std::filesystem::remove_all(folder);
    BOOST_CHECK(errorKindOf(posix_storage::create(files, folder + "/no/folder", {}).status()) == error_kind::NotFound);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
