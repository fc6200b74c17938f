#define BOOST_TEST_MODULE CoordinationRestart
#include <boost/test/unit_test.hpp>
