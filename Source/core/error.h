#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "core/enum_names.h"

namespace crocusdoor {

namespace leaf = boost::leaf;

/// Kind of error of a library operation.
enum class error_code {
  malformed,    ///< The input cannot be parsed as a document of the expected structure.
  invalid,      ///< The document is well formed but violates a rule.
  conflict,     ///< The state has changed since the input was created.
  not_found,    ///< The named object does not exist.
  stale,        ///< The input is older than the current state.
  unavailable,  ///< A dependency did not respond.
  over_limit,   ///< The input exceeds a size or count limit.
};

template <>
struct enum_names<error_code> {
  static constexpr auto names = make_enum_names<error_code>({
      {error_code::malformed, "malformed"},
      {error_code::invalid, "invalid"},
      {error_code::conflict, "conflict"},
      {error_code::not_found, "not_found"},
      {error_code::stale, "stale"},
      {error_code::unavailable, "unavailable"},
      {error_code::over_limit, "over_limit"},
  });
};

/// Error value carried by `leaf::result`. The message states what is wrong and what is accepted.
struct failure {
  error_code code = error_code::invalid;
  std::string message;

  friend bool operator==(const failure&, const failure&) = default;
};

/// Runs `action`, which returns a `leaf::result<T>`, and passes its failure, if any, to
/// `on_failure`, which returns a T.
template <typename Action, typename OnFailure>
auto handle_failure(Action&& action, OnFailure&& on_failure) {
  return leaf::try_handle_all(
      std::forward<Action>(action), [&](const failure& error) { return on_failure(error); },
      [&] {
        return on_failure(failure{error_code::invalid, "unknown failure"});
      });
}

}  // namespace crocusdoor
