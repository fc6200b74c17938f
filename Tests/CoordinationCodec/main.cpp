#define BOOST_TEST_MODULE CoordinationCodec
#include <boost/test/unit_test.hpp>
