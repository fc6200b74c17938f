#include <Fleet/host_list_rotation.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace bilberryyard;

namespace {

size_t const peerCounts[] = { 1, 3, 50 };

// Greetings of a large deployment: lists grow with the number of hosts, so each round asks for one only.
BOOST_DATA_TEST_CASE(each_round_asks_another_peer_for_its_list, peerCounts, peers)
{
    host_list_rotation turn;
    std::vector<int> asked(peers);
    for (size_t round = 0; round < peers; ++round) {
        turn.beginRound(peers);
        int lists = 0;
        for (auto& count : asked) {
            bool const isAsked = turn.next() == host_list::Wanted;
            count += isAsked ? 1 : 0;
            lists += isAsked ? 1 : 0;
        }
        BOOST_TEST(lists == 1);
    }
    BOOST_TEST(asked == std::vector<int>(peers, 1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(round_without_peers_asks_nobody)
{
    host_list_rotation turn;
    turn.beginRound(0);
    turn.beginRound(1);
    BOOST_CHECK(turn.next() == host_list::Wanted);
}

} // namespace
