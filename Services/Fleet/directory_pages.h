#pragma once

#include <Fleet/fleet_message.h>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// A copy of a directory that is sent in pages of one datagram. A page depends only on its cursor, so the sender keeps
/// no state of its receivers, and a lost page is requested again without the others.
class directory_pages {
public:
    /// Maximum size of the records of a page, so that it fits into one datagram.
    static constexpr size_t maximumRecordBytes = 7'000;

    /// @param records Ordered by identifier.
    /// @param positions What the indices page_record::announcer refer to.
    void assign(std::vector<page_record> records, std::vector<feed_position> positions, server_scope scope);

    /// @param zone The receiver's zone, whose servers come first.
    /// @return The page that starts after the cursor.
    directory_page pageAt(page_cursor const& cursor, std::string const& zone) const;

    /// @return The same page, encoded. It is kept until the next call of assign(), since many receivers request it.
    std::string const& encodedPageAt(page_cursor const& cursor, std::string const& zone);

    /// @return Number of pages for a receiver in the zone, counted up to `limit`.
    size_t pageCount(std::string const& zone, size_t limit) const;

private:
    std::vector<page_record> m_records;
    std::vector<feed_position> m_positions;
    server_scope m_scope = server_scope::Own;
    std::map<std::pair<page_cursor, std::string>, std::string> m_encoded;
};

} // namespace bilberryyard
