#pragma once

#include "core/time.h"

namespace crocusdoor {

/// Share of recent requests that failed. It decays without new requests, so that an upstream that
/// has recovered is tried again.
class failure_share {
 public:
  void record(bool failed, time_point now);
  /// Between 0 and 1.
  [[nodiscard]] double value(time_point now) const;

 private:
  double share_ = 0;
  time_point updated_at_{};
};

}  // namespace crocusdoor
