#define BOOST_TEST_MODULE OperatorInterface
#include <boost/test/unit_test.hpp>
