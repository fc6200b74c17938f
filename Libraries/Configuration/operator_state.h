#pragma once

#include <Configuration/versioned_document.h>
#include <Membership/evacuated_zones.h>
#include <absl/status/statusor.h>
#include <compare>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class evacuation_change : uint8_t {
    Begin,
    End,
};

/// An operator's order to evacuate an availability zone, or to end its evacuation.
struct evacuation_order {
    std::string zone;
    evacuation_change change = evacuation_change::Begin;
    /// The order gets a higher revision than this. Hosts may hold a higher revision than the log does, after the loss
    /// of more disks than the deployment tolerates.
    uint64_t afterRevision = 0;
    auto operator<=>(evacuation_order const&) const = default;

    /// @return The payload of a replicated entry. It cannot be mistaken for a document: the version is 0, which no
    ///     document has.
    std::string encode() const;
};

/// What a replicated entry changed.
enum class applied_change : uint8_t {
    None,
    Document,
    EvacuatedZones,
};

/// The replicated state: the document with the highest version, and the evacuated zones. Neither changes the other, so
/// no configuration begins or ends an evacuation. A later document with the same version has no effect, so that an
/// acknowledged version never changes its contents; orders take effect in the order of the log.
class operator_state {
public:
    /// Applies a committed entry.
    /// @param payload Result of versioned_document::encode() or evacuation_order::encode().
    /// @return What has changed; DataLoss when the payload cannot be decoded.
    absl::StatusOr<applied_change> apply(std::string_view payload);

    /// @return The state as bytes. Without any order of an evacuation, a release that knows none can read them.
    std::string snapshot() const;
    /// @param data Result of snapshot().
    /// @return DataLoss when the data cannot be decoded; the state stays unchanged then.
    absl::Status restore(std::string_view data);

    versioned_document const& document() const { return m_document; }
    evacuated_zones const& evacuations() const { return m_evacuations; }
    /// @return Whether the state already is what the order demands.
    bool satisfies(evacuation_order const& order) const;

private:
    absl::StatusOr<applied_change> applyOrder(std::string_view bytes);

    versioned_document m_document;
    evacuated_zones m_evacuations;
};

} // namespace bilberryyard
