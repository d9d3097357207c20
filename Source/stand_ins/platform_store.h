#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusdoor::stand_ins {

/// Condition of a write, as given by the HTTP headers If-Match and If-None-Match.
struct write_condition {
  std::optional<std::uint64_t> version;  ///< The object must have this version.
  bool must_exist = false;
  bool must_be_absent = false;
};

/// Outcome of a write.
struct write_outcome {
  bool applied = false;
  bool created = false;       ///< The object did not exist before.
  bool existed = false;       ///< The object existed before.
  std::uint64_t version = 0;  ///< Version after the write; 0 if the object does not exist.
};

/// Versioned objects in memory. All objects share one version counter, so a version is never used
/// twice, not even after an object is removed and created again.
class platform_store {
 public:
  struct object {
    std::string value;
    std::uint64_t version = 0;
  };
  struct listed_object {
    std::string name;
    object content;
  };
  struct page {
    std::vector<listed_object> objects;
    std::string next;  ///< Name to continue after; empty on the last page.
  };

  /// The object, or nullptr if it does not exist.
  [[nodiscard]] const object* find(const std::string& kind, const std::string& name) const;
  /// Version of the object; 0 if it does not exist.
  [[nodiscard]] std::uint64_t version_of(const std::string& kind, const std::string& name) const;
  write_outcome put(const std::string& kind, const std::string& name, std::string value,
                    const write_condition& condition);
  write_outcome erase(const std::string& kind, const std::string& name,
                      const write_condition& condition);
  /// Objects of a kind whose names begin with the prefix and follow `after`, in the order of their
  /// names: at most `limit` of them and at most `size_limit` bytes of names and values, but at
  /// least one object if there is any.
  [[nodiscard]] page list(const std::string& kind, const std::string& prefix,
                          const std::string& after, std::size_t limit,
                          std::size_t size_limit) const;

 private:
  [[nodiscard]] static bool holds(const write_condition& condition, const object* found);

  std::uint64_t last_version_ = 0;
  std::map<std::string, std::map<std::string, object>> kinds_;
};

}  // namespace crocusdoor::stand_ins
