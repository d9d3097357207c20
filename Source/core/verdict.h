#pragma once

#include <string_view>

#include "core/enum_names.h"

namespace crocusdoor {

/// Whether a request may have been executed by a target.
enum class verdict {
  not_run,       ///< The request has not been executed and never will be.
  ran,           ///< A target executed the request and its response is known.
  may_have_run,  ///< The outcome is unknown; a retry could execute the request twice.
};

template <>
struct enum_names<verdict> {
  static constexpr auto names = make_enum_names<verdict>({
      {verdict::not_run, "not_run"},
      {verdict::ran, "ran"},
      {verdict::may_have_run, "may_have_run"},
  });
};

/// Combines the verdicts of two attempts of the same request: the request as a whole has not run
/// only if neither attempt has.
[[nodiscard]] verdict combine(verdict first, verdict second) noexcept;

}  // namespace crocusdoor
