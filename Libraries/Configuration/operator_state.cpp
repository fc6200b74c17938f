#include <Configuration/operator_state.h>

#include <Base/error_kind.h>
#include <Messages/configuration.pb.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    absl::Status dataLoss(char const* text) { return makeError(error_kind::DataLoss, text); }

    template <typename Message>
    bool parse(Message& message, std::string_view bytes)
    {
        return bytes.size() <= INT32_MAX && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    }

} // namespace

std::string evacuation_order::encode() const
{
    messages::EvacuationOrder order;
    order.set_zone(zone);
    order.set_begins(change == evacuation_change::Begin);
    order.set_after_revision(afterRevision);
    return versioned_document { 0, order.SerializeAsString() }.encode();
}

absl::StatusOr<applied_change> operator_state::apply(std::string_view payload)
{
    auto entry = versioned_document::decode(payload);
    if (!entry.ok())
        return entry.status();
    if (entry->version == 0)
        return applyOrder(entry->bytes);
    if (entry->version <= m_document.version)
        return applied_change::None;
    m_document = *std::move(entry);
    return applied_change::Document;
}

absl::StatusOr<applied_change> operator_state::applyOrder(std::string_view bytes)
{
    messages::EvacuationOrder message;
    if (!parse(message, bytes) || message.zone().empty())
        return dataLoss("a stored order of an evacuation cannot be decoded");
    evacuation_order const order { message.zone(), message.begins() ? evacuation_change::Begin : evacuation_change::End,
        message.after_revision() };
    if (satisfies(order))
        return applied_change::None;
    m_evacuations.revision = std::max(m_evacuations.revision, order.afterRevision) + 1;
    if (order.change == evacuation_change::Begin)
        m_evacuations.zones.insert(order.zone);
    else
        m_evacuations.zones.erase(order.zone);
    return applied_change::EvacuatedZones;
}

bool operator_state::satisfies(evacuation_order const& order) const
{
    // The first order of a new log counts as a change: a host may still obey a set of the log that was lost.
    return m_evacuations.revision >= order.afterRevision
        && m_evacuations.zones.contains(order.zone) == (order.change == evacuation_change::Begin);
}

std::string operator_state::snapshot() const
{
    if (m_evacuations.revision == 0)
        return m_document.encode();
    messages::OperatorStateSnapshot state;
    state.set_document_version(m_document.version);
    state.set_document(m_document.bytes);
    state.set_evacuation_revision(m_evacuations.revision);
    for (auto const& zone : m_evacuations.zones)
        state.add_evacuated_zones(zone);
    return versioned_document { 0, state.SerializeAsString() }.encode();
}

absl::Status operator_state::restore(std::string_view data)
{
    auto document = versioned_document::decode(data);
    if (!document.ok())
        return document.status();
    if (document->version > 0 || document->bytes.empty()) {
        m_document = *std::move(document);
        m_evacuations = {};
        return absl::OkStatus();
    }
    messages::OperatorStateSnapshot state;
    if (!parse(state, document->bytes))
        return dataLoss("a snapshot of the configuration and the evacuated zones cannot be decoded");
    m_document = { state.document_version(), state.document() };
    m_evacuations = { state.evacuation_revision(), { state.evacuated_zones().begin(), state.evacuated_zones().end() } };
    return absl::OkStatus();
}

} // namespace bilberryyard
