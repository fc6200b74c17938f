#define BOOST_TEST_MODULE Forwarding
#include <boost/test/unit_test.hpp>
