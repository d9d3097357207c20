#pragma once

#include <cstdlib>

#include "sidecar/sidecar_settings.h"

namespace crocusdoor {

/// A model writes info lines to its log only if CROCUSDOOR_MODEL_LOG is set in the environment.
inline sidecar_log_settings model_log_settings() {
  sidecar_log_settings settings;
  settings.minimum_level =
      std::getenv("CROCUSDOOR_MODEL_LOG") == nullptr ? log_level::error : log_level::info;
  settings.lines_per_s = 10'000;
  return settings;
}

}  // namespace crocusdoor
