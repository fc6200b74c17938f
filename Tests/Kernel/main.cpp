#define BOOST_TEST_MODULE Kernel
#include <boost/test/unit_test.hpp>
