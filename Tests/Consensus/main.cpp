#define BOOST_TEST_MODULE Consensus
#include <boost/test/unit_test.hpp>
