#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace crocusdoor::detail {

/// The prefix without trailing slashes; empty for the prefix "/", which covers every path.
[[nodiscard]] inline std::string_view trimmed_prefix(std::string_view prefix) {
  while (!prefix.empty() && prefix.back() == '/') {
    prefix.remove_suffix(1);
  }
  return prefix;
}

/// Maps path prefixes to values and finds the longest prefix of whole path segments that covers a
/// path. The cost of a search depends on the number of segments of the path and of the longest
/// prefix, not on the number of prefixes. The table stores views of the prefixes and pointers to
/// the values; both must outlive it.
template <typename Value>
class prefix_table {
 public:
  void insert(std::string_view prefix, const Value* value) {
    const std::string_view key = trimmed_prefix(prefix);
    values_.emplace(key, value);
    maximum_size_ = std::max(maximum_size_, key.size());
  }

  /// Value of the longest prefix that covers the path, or nullptr. A query ("?...") is ignored.
  [[nodiscard]] const Value* find(std::string_view path) const {
    std::string_view candidate = path.substr(0, path.find('?'));
    if (candidate.size() > maximum_size_) {
      candidate = candidate.substr(0, candidate[maximum_size_] == '/'
                                          ? maximum_size_
                                          : last_segment_start(candidate.substr(0, maximum_size_)));
    }
    while (true) {
      const auto found = values_.find(candidate);
      if (found != values_.end() || candidate.empty()) {
        return found == values_.end() ? nullptr : found->second;
      }
      candidate = candidate.substr(0, last_segment_start(candidate));
    }
  }

 private:
  /// Offset of the last slash, or 0.
  static std::size_t last_segment_start(std::string_view path) {
    const std::size_t slash = path.rfind('/');
    return slash == std::string_view::npos ? 0 : slash;
  }

  std::unordered_map<std::string_view, const Value*> values_;
  std::size_t maximum_size_ = 0;
};

}  // namespace crocusdoor::detail
