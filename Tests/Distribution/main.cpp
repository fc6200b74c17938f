#define BOOST_TEST_MODULE Distribution
#include <boost/test/unit_test.hpp>
