// Main program of all test binaries.
#define BOOST_TEST_MODULE hornbeamlb
#include <boost/test/unit_test.hpp>
