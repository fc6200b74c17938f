#include <Consensus/consensus_member_implementation.h>

namespace bilberryyard {

template class consensus_member<consensus_policy>;

} // namespace bilberryyard
