#define BOOST_TEST_MODULE Packet
#include <boost/test/unit_test.hpp>
