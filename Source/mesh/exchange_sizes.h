#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace crocusdoor {

/// Mean size of a request and its response, by work class. Holds at most 1,024 work classes, so
/// that callers cannot grow the table without limit; the size of further classes stays unknown.
class exchange_sizes {
 public:
  void record(const std::string& work_class, std::size_t bytes);
  /// 0 if no exchange of the work class has been recorded.
  [[nodiscard]] double mean_bytes(const std::string& work_class) const;

 private:
  std::unordered_map<std::string, double> by_class_;
};

}  // namespace crocusdoor
