#include "mesh/target_departures.h"

#include <algorithm>

namespace crocusdoor {

namespace {

/// Maximum number of departures at one address; the earliest are removed first.
constexpr std::size_t departure_limit = 8;

bool applies_to(const target_departure& departure, const std::string& id, std::uint64_t born_ms) {
  if (born_ms == 0 || !departure.start_known) {
    return departure.id == id && born_ms <= departure.born_ms;
  }
  return born_ms <= departure.born_ms;
}

/// Whether `known` makes `departure` superfluous.
bool includes(const target_departure& known, const target_departure& departure) {
  return known.start_known == departure.start_known && known.born_ms >= departure.born_ms &&
         (known.start_known || known.id == departure.id);
}

}  // namespace

bool target_departures::add(const target_departure& departure) {
  const bool known =
      std::any_of(departures_.begin(), departures_.end(),
                  [&](const target_departure& entry) { return includes(entry, departure); });
  if (known) {
    return false;
  }
  std::erase_if(departures_,
                [&](const target_departure& entry) { return includes(departure, entry); });
  departures_.push_back(departure);
  if (departures_.size() > departure_limit) {
    departures_.erase(
        std::min_element(departures_.begin(), departures_.end(),
                         [](const target_departure& left, const target_departure& right) {
                           return std::tie(left.start_known, left.born_ms) <
                                  std::tie(right.start_known, right.born_ms);
                         }));
  }
  return true;
}

bool target_departures::covers(const std::string& id, std::uint64_t born_ms) const {
  return std::any_of(
      departures_.begin(), departures_.end(),
      [&](const target_departure& departure) { return applies_to(departure, id, born_ms); });
}

}  // namespace crocusdoor
