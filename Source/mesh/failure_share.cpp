#include "mesh/failure_share.h"

#include <cmath>

namespace crocusdoor {

namespace {

/// Weight of the newest request in the moving mean.
constexpr double newest_weight = 0.08;
/// Time in which the share decays to half.
constexpr duration half_life = std::chrono::seconds(3);

}  // namespace

void failure_share::record(bool failed, time_point now) {
  share_ = value(now);
  updated_at_ = now;
  share_ += newest_weight * ((failed ? 1.0 : 0.0) - share_);
}

double failure_share::value(time_point now) const {
  if (share_ == 0) {
    return 0;
  }
  const double half_lives =
      std::chrono::duration<double>(now - updated_at_) / std::chrono::duration<double>(half_life);
  return share_ * std::exp2(-half_lives);
}

}  // namespace crocusdoor
