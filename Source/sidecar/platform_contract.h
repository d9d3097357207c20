#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "mesh/mesh_configuration.h"
#include "mesh/target_registry.h"
#include "transport/http_types.h"

namespace crocusdoor {

/// Names of the headers by which callers, daemons and targets tell each other about a request.
struct exchange_headers {
  std::string attempt_id;       ///< Of one try of a caller; targets repeat it in their answers.
  std::string deadline_ms;      ///< Time that the sender waits, in milliseconds.
  std::string seal;             ///< Proof that a target made the answer.
  std::string expected_target;  ///< Id of the only target that may run the request.
  std::string declined;         ///< The target has not run the request.
  std::string caller_service;   ///< Service beside which the request began.
  std::string target_id;        ///< Id of the target that answers.
};

/// A target takes itself out.
struct target_withdrawal {
  std::string id;
  std::optional<std::uint64_t> born_ms;
};

using registration = std::variant<target_announcement, target_withdrawal>;

/// How a call to the platform's store ended.
enum class store_outcome {
  done,
  not_found,
  conflict,      ///< The object exists already, or has changed.
  history_gone,  ///< The changes since the given revision are not known any more.
  refused,       ///< The store has not done the call.
  unknown,       ///< No answer: the call may have been done.
};

template <>
struct enum_names<store_outcome> {
  static constexpr auto names = make_enum_names<store_outcome>({
      {store_outcome::done, "done"},
      {store_outcome::not_found, "not_found"},
      {store_outcome::conflict, "conflict"},
      {store_outcome::history_gone, "history_gone"},
      {store_outcome::refused, "refused"},
      {store_outcome::unknown, "unknown"},
  });
};

struct configuration_reading {
  store_outcome outcome = store_outcome::unknown;
  std::uint64_t revision = 0;  ///< Of the store; the next watch begins here.
  /// Nothing if the configuration has not changed, or cannot be read.
  std::optional<mesh_configuration> configuration;
  std::string problem;  ///< Why an answer or a configuration could not be read.
};

/// How a daemon is found by others.
struct daemon_entry {
  instance_name name;
  std::string endpoint;  ///< Of its links, "address:port".
  friend bool operator==(const daemon_entry&, const daemon_entry&) = default;
};

struct daemon_listing {
  store_outcome outcome = store_outcome::unknown;
  std::vector<daemon_entry> daemons;
};

/// Calls to the platform's store. Each callback is called exactly once, in a later turn of the
/// loop.
class mesh_store {
 public:
  mesh_store() = default;
  virtual ~mesh_store() = default;
  mesh_store(const mesh_store&) = delete;
  mesh_store& operator=(const mesh_store&) = delete;

  using configuration_callback = std::function<void(const configuration_reading&)>;
  using listing_callback = std::function<void(const daemon_listing&)>;
  using outcome_callback = std::function<void(store_outcome)>;

  virtual void read_configuration(configuration_callback done) = 0;
  /// The open connections may have gone silent: further calls use new ones.
  virtual void distrust_connections() = 0;
  /// Waits for a change after a revision, at most for `wait`.
  virtual void watch_configuration(std::uint64_t revision, duration wait,
                                   configuration_callback done) = 0;
  virtual void list_daemons(listing_callback done) = 0;
  /// Creates the entry, or replaces one that differs.
  virtual void announce_daemon(const daemon_entry& entry, outcome_callback done) = 0;
  virtual void withdraw_daemon(const instance_name& name, outcome_callback done) = 0;
};

/// The platform's manner of speaking, translated into the types of the mesh.
struct platform_contract {
  exchange_headers headers;
  std::string readiness_path;
  /// What a request at the registration address says.
  std::function<leaf::result<registration>(const http_request&)> decode_registration;
};

}  // namespace crocusdoor
