#pragma once

// Definitions of consensus_member's member functions, for the translation units that instantiate it.

#include <Consensus/consensus_member.h> // IWYU pragma: export
#include <Consensus/consensus_member_election.h> // IWYU pragma: export
#include <Consensus/consensus_member_follower.h> // IWYU pragma: export
#include <Consensus/consensus_member_leader.h> // IWYU pragma: export
#include <Consensus/consensus_member_requests.h> // IWYU pragma: export
