#include "core/verdict.h"

namespace crocusdoor {

verdict combine(verdict first, verdict second) noexcept {
  if (first == verdict::ran || second == verdict::ran) {
    return verdict::ran;
  }
  if (first == verdict::may_have_run || second == verdict::may_have_run) {
    return verdict::may_have_run;
  }
  return verdict::not_run;
}

}  // namespace crocusdoor
