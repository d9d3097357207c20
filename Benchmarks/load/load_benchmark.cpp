// Measures M3, M4 and M5 on a virtual clock.
// Usage: load_benchmark [--check] [measure [deployment [first seed]]]
// Prints a table and one JSON line per figure; --check fails if any seed misses a bound.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_measures.h"

namespace crocusdoor::load_benchmark {

namespace {

constexpr std::uint64_t seed_count = 5;

/// One figure over all seeds.
struct figure_series {
  figure one;
  std::vector<double> values;

  [[nodiscard]] double median() const {
    std::vector<double> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
  }
  [[nodiscard]] double least() const { return *std::min_element(values.begin(), values.end()); }
  [[nodiscard]] double most() const { return *std::max_element(values.begin(), values.end()); }
  [[nodiscard]] bool within_bound() const {
    return one.larger_is_better ? least() >= one.bound : most() <= one.bound;
  }
};

std::vector<figure_series> run_seeds(const std::string& name, const deployment& site,
                                     const load_rules& rules, std::uint64_t first_seed) {
  std::vector<std::future<std::vector<figure>>> runs;
  for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
    runs.push_back(std::async(std::launch::async, measure, name, site, rules, seed));
  }
  std::vector<figure_series> result;
  for (auto& one : runs) {
    const std::vector<figure> figures = one.get();
    result.resize(figures.size());
    for (std::size_t i = 0; i < figures.size(); ++i) {
      result[i].one = figures[i];
      result[i].values.push_back(figures[i].value);
    }
  }
  return result;
}

void print(const std::string& name, const deployment& site, const figure_series* baseline,
           const figure_series& ours) {
  const bool met = ours.within_bound();
  std::printf("%-13s %-7s %-21s %10.3f %10.3f [%.3f..%.3f] %s %.2f %s\n", name.c_str(),
              site.name.c_str(), ours.one.name.c_str(),
              baseline != nullptr ? baseline->median() : NAN, ours.median(), ours.least(),
              ours.most(), ours.one.larger_is_better ? ">=" : "<=", ours.one.bound,
              met ? "met" : "MISSED");
  nlohmann::json line = {{"measure", name},
                         {"deployment", site.name},
                         {"figure", ours.one.name},
                         {"ours", ours.median()},
                         {"bound", ours.one.bound},
                         {"larger_is_better", ours.one.larger_is_better},
                         {"spread", {ours.least(), ours.most()}},
                         {"met", met}};
  if (baseline != nullptr) {
    line["baseline"] = baseline->median();
    line["baseline_spread"] = {baseline->least(), baseline->most()};
    line["ratio"] = baseline->median() == 0 ? nlohmann::json(nullptr)
                                            : nlohmann::json(ours.median() / baseline->median());
  }
  std::printf("%s\n", line.dump().c_str());
}

// The bounds concern this library only, so a check leaves out the baseline and its long queues.
bool run(const std::string& name, const deployment& site, bool check, std::uint64_t first_seed) {
  const auto ours = run_seeds(name, site, default_rules(site), first_seed);
  const auto baseline = check ? std::vector<figure_series>()
                              : run_seeds(name, site, baseline_rules(site), first_seed);
  bool met = !ours.empty();
  for (std::size_t i = 0; i < ours.size(); ++i) {
    print(name, site, check ? nullptr : &baseline[i], ours[i]);
    met = met && ours[i].within_bound();
  }
  return met;
}

}  // namespace

}  // namespace crocusdoor::load_benchmark

int main(int count, char** values) {
  using namespace crocusdoor::load_benchmark;
  std::vector<std::string> arguments(values + 1, values + count);
  const bool check = !arguments.empty() && arguments.front() == "--check";
  if (check) {
    arguments.erase(arguments.begin());
  }
  std::vector<std::string> names{"M3", "M4", "M4-own-route", "M5"};
  if (!arguments.empty()) {
    names = {arguments.front()};
  }
  std::printf("%-13s %-7s %-21s %10s %10s [spread over %d seeds] bound\n", "measure", "sizes",
              "figure", "baseline", "ours", static_cast<int>(seed_count));
  const std::uint64_t first_seed = arguments.size() < 3 ? 1 : std::stoull(arguments[2]);
  bool met = true;
  for (const std::string& name : names) {
    for (const deployment& site : deployments()) {
      if (arguments.size() < 2 || arguments[1] == site.name) {
        met = run(name, site, check, first_seed) && met;
      }
    }
  }
  return check && !met ? 1 : 0;
}
