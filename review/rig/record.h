#pragma once

#include <fstream>
#include <mutex>
#include <set>
#include <string>

#include "http.h"

namespace review {

/// The record of a case: one line for each thing that was sent, answered or run, with the
/// milliseconds since the start.
class record {
 public:
  explicit record(const std::string& path) : file_(path), start_(steady::now()) {}

  void line(const std::string& text);
  [[nodiscard]] milliseconds elapsed() const;
  /// Notes that an upstream has begun to run an attempt.
  void ran(const std::string& attempt);
  [[nodiscard]] bool has_run(const std::string& attempt);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady::time_point start_;
  std::set<std::string> runs_;
};

}  // namespace review
