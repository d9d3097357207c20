#include "load_run.h"

#include <algorithm>
#include <memory>

namespace crocusdoor::load_benchmark {

namespace {

// A user who gets no answer tries again after about this time.
constexpr duration user_pause = std::chrono::milliseconds(100);

class load_run {
 public:
  explicit load_run(const run_plan& plan) : plan_(plan), random_(plan.seed) {
    for (std::size_t i = 0; i < plan_.site.targets; ++i) {
      targets_.push_back(
          std::make_unique<fake_target>(events_, plan_.rules.admission, plan_.report_delay));
    }
    for (std::size_t i = 0; i < plan_.site.callers; ++i) {
      add_caller(i);
    }
  }

  run_result run() {
    schedule_spells();
    schedule_arrival();
    events_.run_until(time_point(plan_.length));
    run_result result{.counts = counts_};
    for (const auto& request : requests_) {
      if (request->done) {
        result.requests.push_back({.arrival = request->arrival.time_since_epoch(),
                                   .latency = request->latency,
                                   .answered = request->answered,
                                   .is_long = request->is_long});
      }
    }
    return result;
  }

 private:
  failure_domain zone(std::size_t index) const {
    return failure_domain("zone-" + std::to_string(index % plan_.site.zones));
  }

  void add_caller(std::size_t index) {
    const region_name region("region");
    const auto one_way = [this, index](std::size_t target) {
      return zone(index) == zone(target) ? plan_.site.one_way_in_zone
                                         : plan_.site.one_way_between_zones;
    };
    const caller_location location{instance_name("caller-" + std::to_string(index)), zone(index),
                                   region};
    auto caller = std::make_unique<fake_caller>(events_, location, plan_.rules.caller, targets_,
                                                one_way, random_, counts_);
    std::vector<upstream> upstreams;
    for (std::size_t i = 0; i < plan_.site.targets; ++i) {
      upstreams.push_back({.instance = target_name(i),
                           .domain = zone(i),
                           .region = region,
                           .slots = plan_.site.slots,
                           .ready_since = time_point(-std::chrono::hours(1))});
    }
    caller->set_upstreams(upstreams, {.connections_per_upstream = plan_.site.connections_per_target,
                                      .callers = plan_.site.callers});
    caller->on_failure([this](const auto& request) { user_repeats(request); });
    callers_.push_back(std::move(caller));
  }

  void schedule_spells() {
    for (const slow_spell& spell : plan_.spells) {
      fake_target& target = *targets_[spell.target];
      events_.at(time_point(spell.begin), [&target, spell] { target.set_slowdown(spell.factor); });
      events_.at(time_point(spell.end), [&target] { target.set_slowdown(1); });
    }
  }

  void schedule_arrival() {
    const double load = plan_.load(events_.now().time_since_epoch());
    const double rate = load * plan_.site.capacity() / (1 - plan_.long_share);
    events_.after(random_.exponential(duration(static_cast<duration::rep>(1e6 / rate))), [this] {
      arrive();
      schedule_arrival();
    });
  }

  void arrive() {
    auto request = std::make_shared<user_request>();
    request->is_long = random_.fraction() < plan_.long_share;
    request->work = service_time() * (request->is_long ? static_cast<int>(plan_.long_factor) : 1);
    request->work_class = request->is_long && plan_.long_own_route ? "exports" : "statements";
    request->tries_left = plan_.user_tries - 1;
    submit(request);
  }

  // Sum of four exponential times: the standard deviation is half the mean.
  duration service_time() {
    duration sum{0};
    for (int stage = 0; stage < 4; ++stage) {
      sum += random_.exponential(plan_.site.service_time / 4);
    }
    return std::max(sum, duration(1));
  }

  void submit(const std::shared_ptr<user_request>& request) {
    request->arrival = events_.now();
    // A long request gets a time-out that suits it.
    request->deadline = events_.now() + plan_.timeout * (request->is_long ? 10 : 1);
    requests_.push_back(request);
    callers_[random_.index(callers_.size())]->submit(request);
  }

  void user_repeats(const std::shared_ptr<user_request>& failed) {
    if (failed->tries_left == 0) {
      return;
    }
    auto next = std::make_shared<user_request>();
    next->work = failed->work;
    next->is_long = failed->is_long;
    next->work_class = failed->work_class;
    next->tries_left = failed->tries_left - 1;
    events_.after(user_pause + random_.up_to(user_pause), [this, next] { submit(next); });
  }

  run_plan plan_;
  random_source random_;
  event_queue events_;
  call_counts counts_;
  std::vector<std::unique_ptr<fake_target>> targets_;
  std::vector<std::unique_ptr<fake_caller>> callers_;
  std::vector<std::shared_ptr<user_request>> requests_;
};

}  // namespace

load_rules default_rules(const deployment& site) {
  return {.admission = default_admission_policy(site.slots), .caller = {}};
}

load_rules baseline_rules(const deployment& site) {
  return {.admission = unlimited_fifo_policy(site.slots),
          .caller = {.selection = round_robin_policy(),
                     .retry = {.limited = false},
                     .hedge = {.enabled = false},
                     .cancels = false}};
}

run_result run_load(const run_plan& plan) {
  return load_run(plan).run();
}

}  // namespace crocusdoor::load_benchmark
