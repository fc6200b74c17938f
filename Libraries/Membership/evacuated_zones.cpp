#include <Membership/evacuated_zones.h>

namespace bilberryyard {

std::string toText(evacuated_zones const& evacuations)
{
    std::string zones;
    for (auto const& zone : evacuations.zones)
        zones += (zones.empty() ? "" : ",") + zone;
    return "revision=" + std::to_string(evacuations.revision) + " zones=" + (zones.empty() ? "-" : zones);
}

} // namespace bilberryyard
