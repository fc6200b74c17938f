#define BOOST_TEST_MODULE Routing
#include <boost/test/unit_test.hpp>
