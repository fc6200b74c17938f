// Start of a member of the replicated log, and removal of its data from the disk.
#include "consensus_group.h"

#include <Base/error_kind.h>
#include <algorithm>
#include <random>

namespace bilberryyard {

namespace {

    // Bounded so that the log fits in a data folder of 128 MB with documents of a few hundred kilobytes.
    constexpr uint64_t entriesPerSnapshot = 64;
    constexpr uint64_t trailingEntries = 16;
    constexpr uint64_t segmentBytes = uint64_t { 2 } * 1024 * 1024;
    constexpr uint64_t appendBytes = uint64_t { 256 } * 1024;
    // Marks a data folder whose content is being deleted because its member was removed from the group.
    constexpr char const* discardMarkerFile = "discarded";
    constexpr char const* joinTokenFile = "join-token";

    consensus_settings groupSettings()
    {
        consensus_settings settings;
        // Each heartbeat wakes the process, which may have a sixth of a core. With these values a lost leader is
        // replaced within 3 s.
        settings.heartbeatInterval = std::chrono::milliseconds(150);
        settings.electionTimeoutMinimum = std::chrono::milliseconds(900);
        settings.electionTimeoutMaximum = std::chrono::milliseconds(1'500);
        settings.lease = std::chrono::milliseconds(700);
        settings.maximumAppendBytes = appendBytes;
        settings.snapshotInterval = entriesPerSnapshot;
        settings.trailingEntries = trailingEntries;
        settings.promotion = learner_promotion::OnRequest;
        return settings;
    }

    uint64_t randomNonZeroNumber()
    {
        std::random_device random;
        return static_cast<uint64_t>(random()) << 32 | random() | 1;
    }

} // namespace

void consensus_group::start(monotonic_time now)
{
    auto const status = open(now);
    if (status.ok())
        return;
    m_logger.emit(events::storageFailed, messageOf(status));
    closeMember();
    m_reopenAt = now + reopenDelay;
}

void consensus_group::closeMember()
{
    m_member.reset();
    m_storage.reset();
    m_emptyStorage.reset();
    m_reopenAt.reset();
    for (auto const& [token, respond] : std::exchange(m_proposals, {}))
        respond(makeRefusal(makeError(error_kind::Unavailable, "this host closed its member of the replicated log")));
}

absl::Status consensus_group::open(monotonic_time now)
{
    closeMember();
    m_isRemoved = false;
    if (auto status = m_files.createFolder(m_settings.dataFolder); !status.ok())
        return status;
    if (auto status = finishDiscarding(); !status.ok())
        return status;
    auto storage = storage_type::create(m_files, m_settings.dataFolder, { segmentBytes });
    if (!storage.ok())
        return storage.status();
    if (storage->identity())
        return startMember(*std::move(storage), now);
    if (m_bootstrap == bootstrap_permission::Granted) {
        auto const isSeed = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
            [&](auto const& seed) { return seed.address == m_settings.address; });
        if (isSeed) {
            if (auto status = bootstrapMember(*storage); !status.ok())
                return status;
            return startMember(*std::move(storage), now);
        }
    }
    m_emptyStorage.emplace(*std::move(storage));
    return loadJoinToken();
}

absl::Status consensus_group::bootstrapMember(storage_type& storage)
{
    std::vector<std::string> addresses;
    for (auto const& seed : m_settings.seeds)
        addresses.push_back(group_address { { seed.address, m_settings.peerPort }, 0 }.toText());
    auto const group = bootstrapGroup(std::move(addresses));
    auto const own = group_address { self().peer, 0 }.toText();
    auto const member = std::find_if(
        group.members.begin(), group.members.end(), [&](auto const& item) { return item.address == own; });
    auto const configuration = cluster_configuration::create(group.members);
    if (!configuration.ok())
        return configuration.status();
    m_logger.emit(events::groupFounded,
        "cluster=" + std::to_string(group.cluster) + " member=" + std::to_string(member->id.value)
            + " founders=" + std::to_string(group.members.size()));
    return storage.initialize({ group.cluster, member->id }, *configuration);
}

absl::Status consensus_group::startMember(storage_type storage, monotonic_time now)
{
    m_bootstrap = bootstrap_permission::Forbidden;
    auto restored = storage.releaseRestoredState();
    m_state = {};
    if (!restored.snapshot->data.empty()) {
        if (auto status = m_state.restore(restored.snapshot->data); !status.ok())
            return status;
    }
    auto member = consensus_member<>::create(
        *storage.identity(), groupSettings(), std::move(restored), randomNonZeroNumber(), now);
    if (!member.ok())
        return member.status();
    m_storage = std::make_unique<storage_worker>(std::move(storage), m_wake, m_settings.dataFolder);
    m_member.emplace(*std::move(member));
    m_loggedRole = consensus_role::Follower;
    m_lastConfiguredAt = now;
    m_logger.emit(events::memberStarted,
        "member=" + std::to_string(m_member->identity().member.value) + " last_index="
            + std::to_string(m_member->lastIndex()) + " version=" + std::to_string(m_state.document().version));
    executeActions(now);
    return absl::OkStatus();
}

absl::Status consensus_group::loadJoinToken()
{
    auto const content = m_files.read(m_settings.dataFolder + "/" + joinTokenFile);
    if (content.ok() && content->size() == sizeof(m_joinToken)) {
        std::copy(content->begin(), content->end(), reinterpret_cast<char*>(&m_joinToken));
    } else {
        m_joinToken = randomNonZeroNumber();
        std::string const bytes(reinterpret_cast<char const*>(&m_joinToken), sizeof(m_joinToken));
        if (auto status = replaceFile(m_files, m_settings.dataFolder, joinTokenFile, bytes); !status.ok())
            return status;
    }
    m_logger.emit(events::waitingToBeAdded, "token=" + std::to_string(m_joinToken));
    return absl::OkStatus();
}

absl::Status consensus_group::discard()
{
    closeMember();
    if (auto status = replaceFile(m_files, m_settings.dataFolder, discardMarkerFile, "removed\n"); !status.ok())
        return status;
    return finishDiscarding();
}

absl::Status consensus_group::finishDiscarding()
{
    auto const names = m_files.list(m_settings.dataFolder);
    if (!names.ok())
        return names.status();
    if (std::find(names->begin(), names->end(), discardMarkerFile) == names->end())
        return absl::OkStatus();
    for (auto const& name : *names) {
        if (name == discardMarkerFile)
            continue;
        if (auto status = m_files.remove(m_settings.dataFolder + "/" + name); !status.ok())
            return status;
    }
    if (auto status = m_files.syncFolder(m_settings.dataFolder); !status.ok())
        return status;
    if (auto status = m_files.remove(m_settings.dataFolder + "/" + discardMarkerFile); !status.ok())
        return status;
    return m_files.syncFolder(m_settings.dataFolder);
}

void consensus_group::saveFile(std::string const& name, std::string bytes)
{
    if (m_storage)
        m_storage->saveFile(name, std::move(bytes));
}

std::optional<std::string> consensus_group::loadFile(std::string const& name)
{
    auto content = m_files.read(m_settings.dataFolder + "/" + name);
    if (content.ok())
        return *std::move(content);
    if (errorKindOf(content.status()) != error_kind::NotFound)
        m_logger.emit(events::savedConfigurationDamaged, messageOf(content.status()));
    return std::nullopt;
}

} // namespace bilberryyard
