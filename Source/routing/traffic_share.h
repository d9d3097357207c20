#pragma once

#include <algorithm>

namespace crocusdoor {

/// Token bucket filled by traffic: allows extra requests up to a share of the ordinary ones.
class traffic_share {
 public:
  /// `share`: extra requests per ordinary request. `burst`: maximum number of extra requests that
  /// are accumulated; also available at the start, so that a caller with little traffic can retry
  /// at all.
  traffic_share(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  /// Counts an ordinary request.
  void earn() { tokens_ = std::min(burst_, tokens_ + share_); }

  /// Takes one extra request from the budget; false if it is used up.
  [[nodiscard]] bool spend() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace crocusdoor
