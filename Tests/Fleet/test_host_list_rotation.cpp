#include <Fleet/host_list_rotation.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace bilberryyard;

namespace {

size_t const peerCounts[] = { 1, 3, 50 };

// Guards against traffic that grows with the square of the number of hosts: each round may request one list only.
BOOST_DATA_TEST_CASE(each_round_requests_the_list_of_another_peer, peerCounts, peers)
{
    host_list_rotation rotation;
    std::vector<int> requestCounts(peers);
    for (size_t round = 0; round < peers; ++round) {
        rotation.beginRound(peers);
        int lists = 0;
        for (auto& count : requestCounts) {
            bool const isRequested = rotation.next() == host_list::Requested;
            count += isRequested ? 1 : 0;
            lists += isRequested ? 1 : 0;
        }
        BOOST_TEST(lists == 1);
    }
    BOOST_TEST(requestCounts == std::vector<int>(peers, 1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(round_without_peers_requests_nothing)
{
    host_list_rotation rotation;
    rotation.beginRound(0);
    rotation.beginRound(1);
    BOOST_CHECK(rotation.next() == host_list::Requested);
}

} // namespace
