#include "directory_pages.h"

#include <Fleet/fleet_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    // Encoded size of a record without its identifier, rounded up.
    constexpr size_t recordBytes = 56;
    // Bounds the cache if receivers send arbitrary cursors.
    constexpr size_t maximumCachedPages = 4'096;

} // namespace

void directory_pages::assign(std::vector<page_record> records, std::vector<feed_position> positions, server_scope scope)
{
    m_records = std::move(records);
    m_positions = std::move(positions);
    m_scope = scope;
    m_encoded.clear();
}

directory_page directory_pages::pageAt(page_cursor const& cursor, std::string const& zone) const
{
    directory_page page { m_scope, m_positions, {}, cursor, cursor, false };
    size_t bytes = 0;
    for (;;) {
        auto next = std::upper_bound(m_records.begin(), m_records.end(), page.next.afterId,
            [](std::string const& id, page_record const& record) { return id < record.server.announcement.id; });
        bool const isOwnZone = page.next.zones == page_cursor::pass::OwnZone;
        for (; next != m_records.end(); ++next) {
            auto const& announcement = next->server.announcement;
            if ((announcement.zone == zone) != isOwnZone)
                continue;
            bytes += recordBytes + announcement.id.size();
            if (bytes > maximumRecordBytes && !page.records.empty())
                return page;
            page.records.push_back(*next);
            page.next.afterId = announcement.id;
        }
        if (!isOwnZone) {
            page.isLast = true;
            return page;
        }
        page.next = { page_cursor::pass::OtherZones, {} };
    }
}

std::string const& directory_pages::encodedPageAt(page_cursor const& cursor, std::string const& zone)
{
    if (m_encoded.size() >= maximumCachedPages)
        m_encoded.clear();
    auto const [entry, isNew] = m_encoded.try_emplace({ cursor, zone });
    if (isNew)
        entry->second = encodeFleetMessage(pageAt(cursor, zone));
    return entry->second;
}

size_t directory_pages::pageCount(std::string const& zone, size_t limit) const
{
    page_cursor cursor;
    for (size_t count = 1; count < limit; ++count) {
        auto const page = pageAt(cursor, zone);
        if (page.isLast)
            return count;
        cursor = page.next;
    }
    return limit;
}

} // namespace bilberryyard
