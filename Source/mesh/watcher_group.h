#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/strong_string.h"

namespace crocusdoor {

/// Chooses the watchers of a failure domain: the daemons that watch the platform's store for
/// changes. A daemon chooses among itself and the daemons that it has a link to.
///
/// Daemons with different links may choose different watchers. So the changes that watchers forward
/// only reduce the cost of distribution; they are not the only way by which a daemon gets changes.
class watcher_group {
 public:
  /// Another daemon that this one has a link to.
  struct member {
    failure_domain domain;
    bool stopping = false;  ///< It is about to end and no longer watches the store.
    friend bool operator==(const member&, const member&) = default;
  };

  watcher_group(instance_name self, failure_domain own_domain)
      : self_(std::move(self)), own_domain_(std::move(own_domain)) {}

  void set_member(const instance_name& peer, member description);
  void remove(const instance_name& peer);
  /// This daemon is about to end and leaves watching the store to others.
  void leave() { leaving_ = true; }

  /// The watchers of the own failure domain, the highest rendezvous score first.
  [[nodiscard]] std::vector<instance_name> watchers() const;
  [[nodiscard]] bool is_watcher() const;
  /// Whether this daemon is the watcher that notifies the other failure domains of new versions.
  [[nodiscard]] bool is_first_watcher() const;
  /// Number of watchers of all failure domains together.
  [[nodiscard]] std::size_t total_watchers() const;
  [[nodiscard]] const std::map<instance_name, member>& members() const noexcept { return members_; }
  [[nodiscard]] const failure_domain& own_domain() const noexcept { return own_domain_; }

 private:
  instance_name self_;
  failure_domain own_domain_;
  std::map<instance_name, member> members_;
  bool leaving_ = false;
};

}  // namespace crocusdoor
