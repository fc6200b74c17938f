#define BOOST_TEST_MODULE trace
#include <boost/test/unit_test.hpp>
