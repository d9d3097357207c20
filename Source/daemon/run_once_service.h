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

/// Claims of run-once actions, on both sides: asks the owner of a shard, wherever it is, and
/// carries out the platform operations of the shards that this instance owns.
class run_once_service {
 public:
  using claim_callback = std::function<void(const claim_reply&)>;
  using resolution_callback = std::function<void(bool resolved, const std::string& reason)>;

  run_once_service(const daemon_context& shared, peer_mesh& mesh, platform_client& platform);

  /// Assigns the shards to the live members, this instance included.
  void set_live_members(const std::vector<instance_name>& live);

  /// Asks for a claim. `done` is called exactly once, at the latest when the claim would expire.
  void request_claim(const claim_parameters& parameters, claim_callback done);

  /// Reports what became of a claim, and repeats the report until the owner has recorded it.
  void complete(const claim& held, verdict outcome, std::optional<recorded_answer> answer);

  /// Settles an operation in doubt whose shard this instance owns.
  void resolve(const operation_key& operation, const operation_resolution& resolution,
               resolution_callback done);

  /// Requests to this peer whose answers may have been lost are sent again.
  void peer_established(const instance_name& peer);

  [[nodiscard]] std::optional<instance_name> owner_of(const operation_key& operation) const {
    return claims_.owner_of(operation);
  }
  [[nodiscard]] const claim_service& claims() const noexcept { return claims_; }
  /// Claim requests without an answer.
  [[nodiscard]] std::size_t waiting_requests() const noexcept { return requests_.size(); }
  /// Completions that no owner has recorded yet.
  [[nodiscard]] std::size_t unrecorded_completions() const noexcept { return completions_.size(); }

 private:
  /// A claim request of this instance. It is sent again with the same id at intervals, and
  /// to the new owner after the shard has moved.
  struct pending_request {
    claim_parameters parameters;
    claim_callback done;
    instance_name owner;
    bool sent = false;
    time_point next_repeat;
    timer_handle timeout;
  };
  /// Identifies a claim request of another instance.
  struct remote_request {
    instance_name from;
    std::uint64_t incarnation = 0;
    wire::request_id id = 0;
    friend auto operator<=>(const remote_request&, const remote_request&) = default;
  };
  /// Answer to a claim request of another instance, kept so that a repeat of the request gets the
  /// same answer and not "in progress".
  struct remote_reply {
    std::optional<claim_reply> reply;
    time_point received_at;
  };
  struct pending_completion {
    claim held;
    verdict outcome = verdict::may_have_run;
    std::optional<recorded_answer> answer;
    time_point next_attempt;
    duration pause{};
  };

  clock_reading read_clock() const;
  void apply(const shard_effects& effects);
  void apply_one(const create_object& effect);
  void read_existing(const std::string& name);
  void apply_one(const read_object& effect);
  void apply_one(const write_object& effect);
  void apply_one(const delete_objects& effect);
  void apply_one(const answer_claim& effect);
  void apply_one(const answer_completion& effect);
  void apply_one(const answer_resolution& effect);

  void receive_claim_request(const instance_name& from, const wire::claim_request& request);
  void receive_claim_answer(const wire::claim_answer& answer);
  void receive_completion(const instance_name& from, const wire::claim_complete& completion);
  void receive_completion_answer(const wire::claim_complete_answer& answer);
  void completion_answered(wire::request_id id, bool recorded, bool final);
  void send_completion(wire::request_id id, pending_completion& one);
  void send_request(wire::request_id id);
  void request_answered(wire::request_id id, const claim_reply& reply);
  void request_timed_out(wire::request_id id);
  void remote_request_answered(const remote_request& request, const claim_reply& reply);
  void review_requests();
  void review_completions();
  void tick();

  const daemon_context& shared_;
  peer_mesh& mesh_;
  platform_client& platform_;
  claim_service claims_;
  ticket_number next_ticket_ = 1;
  wire::request_id next_request_ = 1;
  std::map<ticket_number, std::function<void(const claim_reply&)>> claim_tickets_;
  std::map<ticket_number, std::function<void(const answer_completion&)>> completion_tickets_;
  std::map<ticket_number, resolution_callback> resolution_tickets_;
  std::map<wire::request_id, pending_request> requests_;
  std::map<remote_request, remote_reply> remote_requests_;
  /// Claims under which this instance has sent requests, with their expiry (ms since the Unix
  /// epoch): a second copy of the same grant must not release the claim.
  std::map<claim_id, std::int64_t> used_claims_;
  std::map<wire::request_id, pending_completion> completions_;
  timer_handle timer_;
};

}  // namespace crocusdoor
