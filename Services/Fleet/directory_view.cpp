#include "directory_view.h"

#include <Placement/flow_token.h>
#include <algorithm>

namespace bilberryyard {

directory_view::changes directory_view::apply(
    ip_endpoint const& sender, directory_update const& update, monotonic_time now)
{
    changes result;
    for (auto const& record : update.records) {
        auto const& id = record.announcement.id;
        auto const lastSeenAt = now - record.age;
        auto const effect = m_directory.apply(record.announcement, lastSeenAt, now);
        m_idsByToken[flowToken(id)] = id;
        if (effect == announcement_effect::Added || effect == announcement_effect::Changed)
            result.changed.push_back(id);
        else if (effect == announcement_effect::Renewed)
            result.renewed.emplace_back(flowToken(id), lastSeenAt);
    }
    for (auto const token : update.renewed) {
        auto const id = m_idsByToken.find(token);
        if (id == m_idsByToken.end())
            continue;
        m_directory.renew(id->second, now);
        result.renewed.emplace_back(token, now);
    }
    auto& knownPosition = m_positions[sender];
    bool const continues = knownPosition.epoch == update.epoch && update.fromRevision <= knownPosition.revision;
    if (continues)
        knownPosition.revision = std::max(knownPosition.revision, update.toRevision);
    else if (update.fromRevision == 0)
        knownPosition = { update.epoch, update.toRevision };
    return result;
}

std::vector<std::string> directory_view::expire(monotonic_time now)
{
    auto removedIds = m_directory.expire(now);
    for (auto const& id : removedIds)
        m_idsByToken.erase(flowToken(id));
    return removedIds;
}

directory_view::position directory_view::positionOf(ip_endpoint const& sender) const
{
    auto const knownPosition = m_positions.find(sender);
    return knownPosition == m_positions.end() ? position {} : knownPosition->second;
}

} // namespace bilberryyard
