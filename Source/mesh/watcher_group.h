#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/strong_string.h"

namespace crocusdoor {

/// Chooses the daemons of a failure domain that wait at the platform's store for changes, its
/// watchers, as far as one daemon can tell by its links.
///
/// Daemons with different links may choose differently, so what watchers bring only makes changes
/// cheap; it is not the only way by which a daemon gets them.
class watcher_group {
 public:
  /// Another daemon that is linked.
  struct member {
    failure_domain domain;
    bool stops = false;  ///< It is about to end and waits at the store no more.
    friend bool operator==(const member&, const member&) = default;
  };

  watcher_group(instance_name self, failure_domain own_domain)
      : self_(std::move(self)), own_domain_(std::move(own_domain)) {}

  void set_member(const instance_name& peer, member description);
  void remove(const instance_name& peer);
  /// This daemon is about to end and leaves the store to others.
  void leave() { left_ = true; }

  /// The watchers of the own failure domain, best first.
  [[nodiscard]] std::vector<instance_name> watchers() const;
  [[nodiscard]] bool is_watcher() const;
  /// Whether this daemon is the watcher that tells the other failure domains of new versions.
  [[nodiscard]] bool is_first_watcher() const;
  /// Watchers of all failure domains.
  [[nodiscard]] std::size_t total_watchers() const;
  [[nodiscard]] const std::map<instance_name, member>& members() const noexcept { return members_; }
  [[nodiscard]] const failure_domain& own_domain() const noexcept { return own_domain_; }

 private:
  instance_name self_;
  failure_domain own_domain_;
  std::map<instance_name, member> members_;
  bool left_ = false;
};

}  // namespace crocusdoor
