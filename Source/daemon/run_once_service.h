#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon/daemon_context.h"
#include "daemon/peer_mesh.h"
#include "platform/platform_client.h"
#include "run_once/claim_service.h"

namespace crocusdoor {

/// Claims of run-once actions, on both sides: requests claims from the owner of a shard, which may
/// be this or another instance, and executes the platform operations of the shards that this
/// instance owns.
class run_once_service {
 public:
  using claim_callback = std::function<void(const claim_response&)>;
  using resolution_callback = std::function<void(bool resolved, const std::string& reason)>;

  run_once_service(const daemon_context& shared, peer_mesh& mesh, platform_client& platform);

  /// Assigns the shards to the live members, this instance included.
  void set_live_members(const std::vector<instance_name>& live);

  /// Requests a claim. `done` is called exactly once, no later than the time at which the claim
  /// would expire.
  void request_claim(const claim_parameters& parameters, claim_callback done);

  /// Sends the outcome of a claim to the shard's owner, again with backoff until the owner has
  /// recorded it or has refused it for good.
  void complete(const claim& granted_claim, verdict outcome,
                std::optional<recorded_response> response);

  /// Sets the outcome of an operation in doubt whose shard this instance owns.
  void resolve(const operation_key& operation, const operation_resolution& resolution,
               resolution_callback done);

  /// Sends again the claim requests to this peer whose responses may have been lost.
  void peer_established(const instance_name& peer);

  [[nodiscard]] std::optional<instance_name> owner_of(const operation_key& operation) const {
    return claims_.owner_of(operation);
  }
  [[nodiscard]] const claim_service& claims() const noexcept { return claims_; }
  /// Number of claim requests without a response.
  [[nodiscard]] std::size_t waiting_requests() const noexcept { return pending_requests_.size(); }
  /// Number of completions that no owner has recorded yet.
  [[nodiscard]] std::size_t unrecorded_completions() const noexcept {
    return pending_completions_.size();
  }

 private:
  /// A claim request of this instance. Until it has a response it is sent again at intervals with
  /// the same id; after a change of the shard's owner it goes to the new owner.
  struct pending_request {
    claim_parameters parameters;
    claim_callback done;
    instance_name owner;
    bool sent = false;
    time_point next_resend;
    timer_handle timeout;
  };
  /// Identifies a claim request of another instance.
  struct remote_request {
    instance_name from;
    std::uint64_t incarnation = 0;
    wire::request_id id = 0;
    friend auto operator<=>(const remote_request&, const remote_request&) = default;
  };
  /// Response to a claim request of another instance, kept so that a repeat of the request gets the
  /// same response and not "in progress".
  struct remote_response {
    std::optional<claim_response> response;
    time_point received_at;
  };
  struct pending_completion {
    claim granted_claim;
    verdict outcome = verdict::may_have_run;
    std::optional<recorded_response> response;
    time_point next_attempt;
    duration backoff{};
  };

  clock_reading read_clock() const;
  void apply(const shard_effects& effects);
  void apply_effect(const create_object& effect);
  void read_existing(const std::string& name);
  void apply_effect(const read_object& effect);
  void apply_effect(const write_object& effect);
  void apply_effect(const delete_objects& effect);
  void apply_effect(const answer_claim& effect);
  void apply_effect(const answer_completion& effect);
  void apply_effect(const answer_resolution& effect);

  void receive_claim_request(const instance_name& from, const wire::claim_request& request);
  void receive_claim_response(const wire::claim_answer& message);
  void receive_completion(const instance_name& from, const wire::claim_complete& completion);
  void receive_completion_response(const wire::claim_complete_answer& message);
  void completion_acknowledged(wire::request_id id, bool recorded, bool final);
  void send_completion(wire::request_id id, pending_completion& completion);
  void send_request(wire::request_id id);
  void response_received(wire::request_id id, const claim_response& response);
  void request_timed_out(wire::request_id id);
  void respond_to_remote_request(const remote_request& request, const claim_response& response);
  void review_requests();
  void review_completions();
  void tick();

  const daemon_context& shared_;
  peer_mesh& mesh_;
  platform_client& platform_;
  claim_service claims_;
  ticket_number next_ticket_ = 1;
  wire::request_id next_request_id_ = 1;
  std::map<ticket_number, std::function<void(const claim_response&)>> claim_callbacks_;
  std::map<ticket_number, std::function<void(const answer_completion&)>> completion_callbacks_;
  std::map<ticket_number, resolution_callback> resolution_callbacks_;
  std::map<wire::request_id, pending_request> pending_requests_;
  std::map<remote_request, remote_response> remote_requests_;
  /// Claims that this instance has accepted for its requests, with their expiry (ms since the Unix
  /// epoch). A duplicate of the response that granted such a claim must not release it.
  std::map<claim_id, std::int64_t> used_claims_;
  std::map<wire::request_id, pending_completion> pending_completions_;
  timer_handle timer_;
};

}  // namespace crocusdoor
