#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "mesh/route_table.h"
#include "sidecar/sidecar_context.h"

namespace crocusdoor {

/// Keeps the newest configuration that this daemon has seen. It comes from the platform's store, or
/// from a peer while the store does not answer. Versions only rise within one process.
class configuration_follower {
 public:
  struct handlers {
    std::function<void(const route_table_pointer&)> adopted;
    /// Daemons that are known, including this one.
    std::function<std::size_t()> daemon_count;
    std::function<void(const instance_name&)> request_document;
  };

  configuration_follower(const sidecar_context& shared, mesh_store& store, handlers callbacks);

  void start();
  /// The version in force; null before the first one.
  [[nodiscard]] const route_table_pointer& current() const noexcept { return current_; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return current_ == nullptr ? 0 : current_->version();
  }
  /// The version in force as the operators wrote it.
  [[nodiscard]] const std::string& document() const noexcept { return document_; }

  /// A peer holds this version.
  void version_seen(const instance_name& peer, std::uint64_t version);
  /// A peer has sent the configuration that it holds.
  void document_received(const instance_name& peer, const std::string& document);

 private:
  void read();
  void watch();
  void reading_ended(const configuration_reading& reading);
  void watch_ended(const configuration_reading& reading);
  void call_failed(store_outcome outcome);
  void call_answered(const configuration_reading& reading);
  void adopt(const stored_configuration& found, const std::string& origin);
  void catch_up();
  [[nodiscard]] duration watch_time() const;

  const sidecar_context& shared_;
  mesh_store& store_;
  handlers callbacks_;
  route_table_pointer current_;
  std::string document_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;
  bool reading_ = false;
  std::uint64_t version_at_peer_ = 0;
  instance_name newer_peer_;
  timer_handle next_call_;
  timer_handle catch_up_timer_;
};

}  // namespace crocusdoor
