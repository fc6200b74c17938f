#define BOOST_TEST_MODULE ControlTraffic
#include <boost/test/unit_test.hpp>
