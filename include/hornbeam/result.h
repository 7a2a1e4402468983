// Result type of all layers: a value or an error of that layer.
#pragma once

#include <boost/outcome/result.hpp>

namespace hornbeam {

// Holds a value of type T or an error of type E. Accessing the one that is not
// held terminates the program: it is a violated invariant and never a
// consequence of input.
template <class T, class E>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

}  // namespace hornbeam
