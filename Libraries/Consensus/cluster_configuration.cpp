#include <Consensus/cluster_configuration.h>

#include <Base/error_kind.h>
#include <Consensus/byte_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    std::string nameOf(member_id id) { return "member " + std::to_string(id.value); }

} // namespace

absl::StatusOr<cluster_configuration> cluster_configuration::create(std::vector<member_description> members)
{
    cluster_configuration result;
    std::sort(members.begin(), members.end());
    for (auto const& member : members) {
        if (member.id == noMember)
            return makeError(error_kind::InvalidArgument, "member identifier 0 is not allowed");
        if (member.id == result.m_highestMember)
            return makeError(error_kind::InvalidArgument, nameOf(member.id) + " is listed twice");
        result.m_highestMember = member.id;
    }
    result.m_members = std::move(members);
    if (result.voterCount() == 0)
        return makeError(error_kind::InvalidArgument, "a cluster configuration needs at least one voter");
    return result;
}

absl::StatusOr<cluster_configuration> cluster_configuration::decode(std::string_view bytes)
{
    byte_reader reader(bytes);
    cluster_configuration result;
    result.m_highestMember = member_id { reader.u32() };
    auto const count = reader.u32();
    for (uint32_t i = 0; i < count && reader.ok(); ++i) {
        member_description member;
        member.id = member_id { reader.u32() };
        auto const role = reader.u8();
        member.address = reader.text();
        if (role != static_cast<uint8_t>(member_role::Learner) && role != static_cast<uint8_t>(member_role::Voter))
            return makeError(error_kind::DataLoss,
                "unknown member role " + std::to_string(role) + " in an encoded cluster configuration");
        member.role = static_cast<member_role>(role);
        result.m_members.push_back(std::move(member));
    }
    if (!reader.finished())
        return makeError(error_kind::DataLoss, "encoded cluster configuration is truncated or has trailing bytes");
    return result;
}

std::string cluster_configuration::encode() const
{
    byte_writer writer;
    writer.u32(m_highestMember.value).u32(static_cast<uint32_t>(m_members.size()));
    for (auto const& member : m_members)
        writer.u32(member.id.value).u8(static_cast<uint8_t>(member.role)).text(member.address);
    return writer.release();
}

absl::StatusOr<cluster_configuration> cluster_configuration::withLearner(member_id id, std::string address) const
{
    if (id <= m_highestMember) {
        return makeError(error_kind::FailedPrecondition,
            nameOf(id) + " was used before; the next unused identifier is "
                + std::to_string(m_highestMember.value + 1));
    }
    auto result = *this;
    result.m_members.push_back({ id, member_role::Learner, std::move(address) });
    result.m_highestMember = id;
    return result;
}

absl::StatusOr<cluster_configuration> cluster_configuration::withPromoted(member_id id) const
{
    auto result = *this;
    for (auto& member : result.m_members) {
        if (member.id != id)
            continue;
        if (member.role == member_role::Voter)
            return makeError(error_kind::FailedPrecondition, nameOf(id) + " is already a voter");
        member.role = member_role::Voter;
        return result;
    }
    return makeError(error_kind::NotFound, nameOf(id) + " is not in the cluster configuration");
}

absl::StatusOr<cluster_configuration> cluster_configuration::without(member_id id) const
{
    if (!contains(id))
        return makeError(error_kind::NotFound, nameOf(id) + " is not in the cluster configuration");
    auto result = *this;
    std::erase_if(result.m_members, [id](auto const& member) { return member.id == id; });
    if (result.voterCount() == 0)
        return makeError(error_kind::FailedPrecondition, nameOf(id) + " is the last voter and cannot be removed");
    return result;
}

size_t cluster_configuration::voterCount() const
{
    return static_cast<size_t>(std::count_if(
        m_members.begin(), m_members.end(), [](auto const& member) { return member.role == member_role::Voter; }));
}

bool cluster_configuration::isVoter(member_id id) const
{
    auto const* member = find(id);
    return member && member->role == member_role::Voter;
}

member_description const* cluster_configuration::find(member_id id) const
{
    auto const found
        = std::find_if(m_members.begin(), m_members.end(), [id](auto const& member) { return member.id == id; });
    return found == m_members.end() ? nullptr : &*found;
}

} // namespace bilberryyard
