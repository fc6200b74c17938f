#include <Base/log_event.h>

#include <array>

namespace bilberryyard {

namespace {

    constexpr std::array eventTable {
        events::daemonStarted,
        events::daemonStopping,
        events::daemonStopped,
        events::settingsRefused,
        events::startFailed,
        events::settingsReloaded,
        events::packetSocketError,
        events::flowPlaced,
        events::flowReset,
        events::packetDropped,
        events::serverEjected,
        events::linesSuppressed,
        events::evacuationInForce,
        events::warmUpLimitReached,
        events::linkLoaded,
        events::serverTrustLost,
        events::serverTrustRegained,
        events::flowsLeftZone,
        events::tableChanged,
        events::serverJoined,
        events::serverLeaseExpired,
        events::serverDraining,
        events::serverAnnounced,
        events::announcementRefused,
        events::hostHeard,
        events::hostSilent,
        events::readinessChanged,
        events::directoryPageReceived,
        events::serversLate,
        events::peerMessageRefused,
        events::serverDisplaced,
        events::warmUpBudgetShared,
        events::configurationInForce,
        events::configurationRefused,
        events::configurationNotSaved,
        events::savedConfigurationDamaged,
        events::memberStarted,
        events::waitingToBeAdded,
        events::storageFailed,
        events::memberRemoved,
        events::groupFounded,
        events::memberRoleChanged,
        events::documentApplied,
        events::groupChanged,
        events::documentRequested,
        events::evacuationApplied,
        events::evacuationRequested,
        events::httpListenFailed,
        events::requestHandlerFailed,
    };

} // namespace

std::span<log_event const> allLogEvents() { return eventTable; }

} // namespace bilberryyard
