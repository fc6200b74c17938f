#define BOOST_TEST_MODULE Operator
#include <boost/test/unit_test.hpp>
