#define BOOST_TEST_MODULE Configuration
#include <boost/test/unit_test.hpp>
