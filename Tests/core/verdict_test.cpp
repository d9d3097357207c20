#include "core/verdict.h"

#include <catch2/catch.hpp>

namespace crocusdoor {

TEST_CASE("two attempts count as not run only if neither may have run", "[P5]") {
  CHECK(combine(verdict::not_run, verdict::not_run) == verdict::not_run);
  CHECK(combine(verdict::not_run, verdict::may_have_run) == verdict::may_have_run);
  CHECK(combine(verdict::may_have_run, verdict::ran) == verdict::ran);
}

}  // namespace crocusdoor
