#define BOOST_TEST_MODULE ControlMessages
#include <boost/test/unit_test.hpp>
