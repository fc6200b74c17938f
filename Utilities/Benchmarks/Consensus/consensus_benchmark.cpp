#include "consensus_member_thread.h"
#include <cstdio>
#include <cstdlib>
#include <filesystem>

// Measures proposals per second and their latency with three members that write real files, and the time to replay a
// log. Usage: consensus_benchmark [folder]

using namespace bilberryyard;

namespace {

constexpr size_t payloadSizes[] = { 64, 512, 4096, 16384 };
constexpr auto waitTimeout = std::chrono::seconds(60);

struct load_shape {
    size_t window;
    size_t total;
};
constexpr load_shape loadShapes[] = { { 1, 300 }, { 64, 6000 } };

double milliseconds(duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

monotonic_time now() { return std::chrono::steady_clock::now(); }

/// Prints an error.
/// @return The exit code of its kind.
int reportError(absl::Status const& status)
{
    std::fprintf(stderr, "consensus_benchmark: %s\n", messageOf(status).c_str());
    return presentationFor(errorKindOf(status)).exitCode;
}

absl::StatusOr<cluster_configuration> threeVoters()
{
    std::vector<member_description> members;
    for (uint32_t id = 1; id <= 3; ++id)
        members.push_back({ member_id { id }, member_role::Voter, {} });
    return cluster_configuration::create(std::move(members));
}

template <typename Condition>
bool waitFor(Condition condition)
{
    auto const end = now() + waitTimeout;
    while (now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

absl::Status measureProposals(std::string const& folder, size_t payloadSize, load_shape shape)
{
    auto const bootstrapConfiguration = threeVoters();
    if (!bootstrapConfiguration.ok())
        return bootstrapConfiguration.status();
    std::vector<std::unique_ptr<consensus_member_thread>> members;
    auto const send
        = [&members](consensus_message const& message) { members[message.receiver.value - 1]->deliver(message); };
    for (uint32_t id = 1; id <= 3; ++id) {
        auto member = consensus_member_thread::create(
            folder + "/" + std::to_string(id), { 1, member_id { id } }, *bootstrapConfiguration, send);
        if (!member.ok())
            return member.status();
        members.push_back(*std::move(member));
    }
    for (auto& member : members)
        member->start();
    consensus_member_thread* leader = nullptr;
    auto const elected = waitFor([&] {
        for (auto& member : members) {
            if (member->isLeader())
                leader = member.get();
        }
        return leader != nullptr;
    });
    if (!elected)
        return makeError(error_kind::DeadlineExceeded, "no leader was elected");
    auto const start = now();
    leader->load(std::string(payloadSize, 'x'), shape.window, shape.total);
    auto const finished = waitFor([&] { return leader->latencies().size() == shape.total; });
    auto const elapsed = now() - start;
    auto latencies = leader->latencies();
    if (!finished)
        return makeError(error_kind::DeadlineExceeded,
            std::to_string(latencies.size()) + " proposals were accepted before the timeout");
    std::sort(latencies.begin(), latencies.end());
    std::printf("proposals payload=%zu window=%zu accepted=%zu rate=%.0f/s p50=%.2fms p99=%.2fms\n", payloadSize,
        shape.window, shape.total, static_cast<double>(shape.total) * 1000 / milliseconds(elapsed),
        milliseconds(latencies[latencies.size() / 2]), milliseconds(latencies[latencies.size() * 99 / 100]));
    return absl::OkStatus();
}

absl::Status measureReplay(std::string const& folder, size_t payloadSize, log_index count)
{
    posix_file_system files;
    auto const bootstrapConfiguration = threeVoters();
    if (!bootstrapConfiguration.ok())
        return bootstrapConfiguration.status();
    {
        auto storage = member_storage<posix_file_system>::create(files, folder, {});
        if (!storage.ok())
            return storage.status();
        if (auto status = storage->initialize({ 1, member_id { 1 } }, *bootstrapConfiguration); !status.ok())
            return status;
        for (log_index index = 1; index <= count;) {
            persist_request request;
            request.vote = vote_record { 1, member_id { 1 } };
            for (auto batch = 0; batch < 500 && index <= count; ++batch, ++index)
                request.entries.push_back({ 1, index, entry_kind::Application, std::string(payloadSize, 'x') });
            if (auto status = storage->execute(request); !status.ok())
                return status;
        }
    }
    auto const start = now();
    auto storage = member_storage<posix_file_system>::create(files, folder, {});
    if (!storage.ok())
        return storage.status();
    auto const member
        = consensus_member<>::create({ 1, member_id { 1 } }, {}, storage->releaseRestoredState(), 1, now());
    auto const elapsed = now() - start;
    if (!member.ok())
        return member.status();
    if (member->lastIndex() != count)
        return makeError(error_kind::Internal,
            "the replayed log is incomplete; it ends at entry " + std::to_string(member->lastIndex()));
    std::printf("replay payload=%zu entries=%llu time=%.2fms\n", payloadSize, static_cast<unsigned long long>(count),
        milliseconds(elapsed));
    return absl::OkStatus();
}

absl::Status runAll(std::string const& folder)
{
    size_t runs = 0;
    auto const nextFolder = [&] {
        auto path = folder + "/run" + std::to_string(++runs);
        std::filesystem::create_directory(path);
        return path;
    };
    for (auto const size : payloadSizes) {
        for (auto const shape : loadShapes) {
            if (auto status = measureProposals(nextFolder(), size, shape); !status.ok())
                return status;
        }
        for (log_index const count : { 1000, 10000 }) {
            if (auto status = measureReplay(nextFolder(), size, count); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

} // namespace

int main(int argc, char** argv)
{
    std::string folder = (argc > 1 ? std::filesystem::path(argv[1]) : std::filesystem::temp_directory_path())
        / "consensus-benchmark-XXXXXX";
    if (!::mkdtemp(folder.data()))
        return reportError(
            makeError(error_kind::InvalidArgument, "cannot create a temporary folder with the pattern " + folder));
    auto const status = runAll(folder);
    std::filesystem::remove_all(folder);
    return status.ok() ? 0 : reportError(status);
}
