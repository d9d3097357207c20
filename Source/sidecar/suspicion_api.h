#pragma once

#include <functional>

#include "daemon/api_router.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Shows operators which requests are suspected of crashing targets, and lets them clear one. The
/// paths are those of `crocusdoord`, so `crocusdoor suspicions` works with both.
class suspicion_api {
 public:
  /// `cleared` gets the count of a request that an operator has cleared.
  suspicion_api(const sidecar_context& shared,
                std::function<void(const std::vector<crash_count>&)> cleared);

  void answer(const std::shared_ptr<http_exchange>& exchange) const { router_.dispatch(exchange); }

 private:
  void list(http_exchange& exchange) const;
  void clear(http_exchange& exchange) const;

  const sidecar_context& shared_;
  std::function<void(const std::vector<crash_count>&)> cleared_;
  api_router router_;
};

}  // namespace crocusdoor
