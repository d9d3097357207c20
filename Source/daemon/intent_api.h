#pragma once

#include <memory>
#include <string>
#include <vector>

#include "configuration/plan.h"
#include "daemon/api_router.h"
#include "daemon/instance_directory_api.h"
#include "daemon/mesh_daemon.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// HTTP API for operators, described in docs/api.md. Every instance serves it.
class intent_api {
 public:
  explicit intent_api(mesh_daemon& owner);

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;

  void add_configuration_routes();
  void add_instance_routes();
  void add_operation_routes();
  void add_suspicion_routes();

  void create_plan(const exchange_pointer& exchange);
  void confirm(const exchange_pointer& exchange, const plan& confirmed_plan, int attempts_left);
  void write_head(const exchange_pointer& exchange, const plan& confirmed_plan,
                  const confirmation& confirmation_result, object_version expected,
                  int attempts_left);
  void show_status(const exchange_pointer& exchange);
  [[nodiscard]] json describe_self() const;
  void list_operations(const exchange_pointer& exchange);
  void show_operation(const exchange_pointer& exchange, const operation_key& key);
  [[nodiscard]] json local_operations(bool in_doubt_only) const;
  void resolve_operation(const exchange_pointer& exchange);
  void clear_suspicion(const exchange_pointer& exchange);
  void drain(const exchange_pointer& exchange);
  /// Forwards a request to the API of another instance and responds with the response of that
  /// instance.
  void forward(const exchange_pointer& exchange, const instance_name& instance);
  [[nodiscard]] std::vector<affected_instance> affected_instances() const;

  mesh_daemon& daemon_;
  const daemon_context& shared_;
  instance_directory_api other_instances_;
  api_router router_;
  http_server server_;
};

}  // namespace crocusdoor
