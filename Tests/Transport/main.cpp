#define BOOST_TEST_MODULE Transport
#include <boost/test/unit_test.hpp>
