#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>
