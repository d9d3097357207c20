#include <catch2/catch.hpp>
#include <variant>

#include "configuration/snapshot_diff.h"
#include "configuration_fixtures.h"

namespace crocusdoor {

namespace {

/// A message that offers a version to a holder.
using update = std::variant<snapshot, configuration_delta>;

struct receiver {
  configuration_holder holder;
  std::vector<update> in_flight;
  version_number highest = 0;
};

/// A confirmed history and several holders that receive it over a network that drops, repeats,
/// corrupts and reorders messages.
class simulated_mesh {
 public:
  explicit simulated_mesh(std::uint64_t seed) : random_(seed), receivers_(4) {}

  /// Confirms one random change and sends an update to each holder.
  void change() {
    const snapshot& last = history_.back();
    std::optional<snapshot> next = handle_failure(
        [&]() -> leaf::result<std::optional<snapshot>> {
          BOOST_LEAF_AUTO(applied, apply_intents(last, random_intents(last, random_)));
          return std::optional<snapshot>(std::move(applied));
        },
        [](const failure&) { return std::optional<snapshot>(); });
    if (!next.has_value()) {
      return;  // The random intents had no effect.
    }
    history_.push_back(std::move(*next));
    for (receiver& target : receivers_) {
      target.in_flight.push_back(random_update());
    }
  }

  /// Delivers, repeats, corrupts or drops one random message in flight.
  void deliver() {
    receiver& target = receivers_[random_.index(receivers_.size())];
    if (target.in_flight.empty()) {
      return;
    }
    const std::size_t chosen = random_.index(target.in_flight.size());
    const update message = target.in_flight[chosen];
    const std::size_t fault = random_.index(8);
    if (fault != 0) {
      offer(target, message, fault == 1);
    }
    if (fault != 2) {  // With 2 the message stays in flight and is delivered again.
      target.in_flight.erase(target.in_flight.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
  }

  /// Offers the newest version to the first holder, and to each other holder the changes or the
  /// snapshot of the previous holder, as after the end of a partition.
  void heal() {
    offer(receivers_[0], update(history_.back()), false);
    for (std::size_t i = 1; i < receivers_.size(); ++i) {
      receiver& behind = receivers_[i];
      const configuration_holder& peer = receivers_[i - 1].holder;
      if (const auto delta = peer.delta_since(behind.holder.current()->version)) {
        offer(behind, update(*delta), false);
      } else {
        offer(behind, update(*peer.current()), false);
      }
    }
  }

  [[nodiscard]] bool converged() const {
    return std::all_of(receivers_.begin(), receivers_.end(), [&](const receiver& target) {
      return *target.holder.current() == history_.back();
    });
  }
  [[nodiscard]] std::size_t adoptions() const { return adoptions_; }

 private:
  update random_update() {
    const snapshot& newest = history_.back();
    if (random_.index(3) == 0) {
      return newest;
    }
    const std::size_t oldest = history_.size() > 6 ? history_.size() - 6 : 0;
    const snapshot& base = history_[oldest + random_.index(history_.size() - 1 - oldest)];
    return delta_between(base, newest, digest_of(newest));
  }

  void offer(receiver& target, const update& message, bool corrupted) {
    const digest wrong_digest = digest_of("damaged in flight");
    const snapshot_pointer before = target.holder.current();
    adoption outcome = adoption::invalid;
    if (const auto* whole = std::get_if<snapshot>(&message)) {
      outcome = target.holder.offer(*whole, corrupted ? wrong_digest : digest_of(*whole)).outcome;
    } else {
      configuration_delta delta = std::get<configuration_delta>(message);
      delta.result_digest = corrupted ? wrong_digest : delta.result_digest;
      outcome = target.holder.offer(delta).outcome;
    }
    check(target, before, outcome);
  }

  void check(receiver& target, const snapshot_pointer& before, adoption outcome) {
    const snapshot_pointer& now = target.holder.current();
    REQUIRE(now->version >= target.highest);
    REQUIRE((outcome == adoption::adopted) == (now->version > before->version));
    REQUIRE((outcome == adoption::adopted || now == before));
    REQUIRE(outcome != adoption::invalid);
    REQUIRE(*now == history_.at(now->version));
    REQUIRE(now->index.fingerprints() == fingerprints_of(history_.at(now->version)));
    REQUIRE(now->index.fingerprints().encoded_size == encode_snapshot(*now).size());
    for (const auto& [name, checked] : now->routes) {
      REQUIRE(now->services.contains(checked.service));
    }
    target.highest = now->version;
    adoptions_ += outcome == adoption::adopted ? 1 : 0;
  }

  random_source random_;
  std::vector<snapshot> history_{snapshot{}};
  std::vector<receiver> receivers_;
  std::size_t adoptions_ = 0;
};

}  // namespace

TEST_CASE("versions never decrease and all holders converge for any order of messages",
          "[P1][P2][P3][P9][F3]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    simulated_mesh mesh(seed);
    random_source steps(seed + 1'000);
    for (int step = 0; step < 200; ++step) {
      if (steps.index(4) == 0) {
        mesh.change();
      } else {
        mesh.deliver();
      }
    }
    mesh.heal();
    CHECK(mesh.converged());
    CHECK(mesh.adoptions() > 20);
  }
}

}  // namespace crocusdoor
