#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <utility>

#include "configuration/prefix_table.h"
#include "configuration/route.h"
#include "configuration/run_once_action.h"
#include "configuration/snapshot_fingerprints.h"

namespace crocusdoor {

struct snapshot;

/// Lookup tables of the routes and actions of one snapshot, and its fingerprints. The tables point
/// into that snapshot, so copying or moving a snapshot does not copy or move its index, and
/// comparing snapshots ignores it.
class snapshot_index {
 public:
  snapshot_index() = default;
  snapshot_index(const snapshot_index& /*other*/) noexcept {}
  snapshot_index(snapshot_index&& /*other*/) noexcept {}
  snapshot_index& operator=(const snapshot_index& /*other*/) noexcept {
    tables_.reset();
    return *this;
  }
  snapshot_index& operator=(snapshot_index&& /*other*/) noexcept {
    tables_.reset();
    return *this;
  }
  ~snapshot_index() = default;

  /// Builds the index of `content`, the snapshot that it is a member of; that must not change
  /// afterwards. Resources equal to those in `similar` are not encoded again if its index is built.
  void build(const snapshot& content, const snapshot* similar = nullptr);

  [[nodiscard]] bool built() const noexcept { return tables_ != nullptr; }

  /// Digest and size of the snapshot; the index must be built.
  [[nodiscard]] const snapshot_fingerprints& fingerprints() const { return tables_->fingerprints; }

  /// Like `crocusdoor::find_route`; the index must be built.
  [[nodiscard]] const route* find_route(std::string_view path) const;

  /// Like `crocusdoor::find_action`; the index must be built.
  [[nodiscard]] const run_once_action* find_action(const service_name& target_service,
                                                   std::string_view method,
                                                   std::string_view path) const;

  friend bool operator==(const snapshot_index& /*left*/, const snapshot_index& /*right*/) {
    return true;
  }

 private:
  struct tables {
    detail::prefix_table<route> routes;
    std::map<std::pair<std::string_view, std::string_view>, detail::prefix_table<run_once_action>>
        actions;  ///< By service and method.
    snapshot_fingerprints fingerprints;
  };

  std::unique_ptr<const tables> tables_;
};

}  // namespace crocusdoor
