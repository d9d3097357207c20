#include "configuration/plan_sentences.h"

#include <array>
#include <cstddef>
#include <utility>

namespace crocusdoor::detail {

namespace {

std::string text_of(const json& resource, const char* key) {
  const json& value = resource.at(key);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string service_effect(const json& resource) {
  return "will give each upstream " + text_of(resource, "slots_per_upstream") + " slots and " +
         text_of(resource, "connections_per_upstream") + " connections";
}

std::string route_effect(const json& resource) {
  return "will send " + text_of(resource, "path_prefix") + " to service " +
         text_of(resource, "service");
}

std::string key_place(const json& resource) {
  const std::string place = text_of(resource, "key_in");
  const std::string name = text_of(resource, "key_name");
  return place == "header"         ? "header " + name
         : place == "path_segment" ? "path segment " + name
                                   : "body field " + name;
}

std::string action_effect(const json& resource) {
  return "will run " + text_of(resource, "method") + " " + text_of(resource, "path_prefix") +
         " of service " + text_of(resource, "service") + " once for each key in " +
         key_place(resource);
}

std::string service_removal(const json& /*before*/, const snapshot& /*after*/) {
  return "will be removed";
}

std::string route_removal(const json& before, const snapshot& after) {
  const std::string prefix = text_of(before, "path_prefix");
  const route* next = find_route(after, prefix);
  return "will be removed; " + prefix + " will " +
         (next == nullptr
              ? "be refused"
              : "go to service " + next->service.str() + " by route " + next->name.str());
}

std::string action_removal(const json& before, const snapshot& /*after*/) {
  return "will be removed; " + text_of(before, "method") + " " + text_of(before, "path_prefix") +
         " of service " + text_of(before, "service") + " will no longer be protected from repeats";
}

struct wording {
  const char* noun;
  std::string (*effect)(const json& after);
  std::string (*removal)(const json& before, const snapshot& after);
};

constexpr std::array<wording, enum_names<resource_kind>::names.size()> wordings = {{
    {"Service ", service_effect, service_removal},
    {"Route ", route_effect, route_removal},
    {"Action ", action_effect, action_removal},
}};

/// Lists the fields that differ: "slots_per_upstream from 12 to 9, ramp_ms from 10000 to 20000".
std::string differing_fields(const json& before, const json& after) {
  std::string text;
  for (const auto& item : after.items()) {
    const json& old_value = before.at(item.key());
    if (old_value == item.value()) {
      continue;
    }
    text += text.empty() ? "" : ", ";
    text += item.key();
    if (!item.value().is_object()) {
      text += " from " + text_of(before, item.key().c_str()) + " to " +
              text_of(after, item.key().c_str());
    }
  }
  return text;
}

}  // namespace

std::string describe_change(const resource_change& change, const snapshot& after) {
  const wording& words = wordings.at(static_cast<std::size_t>(change.kind));
  const std::string subject = words.noun + change.name + " ";
  switch (change.change) {
    case change_kind::added:
      return subject + words.effect(change.after) + " (new)";
    case change_kind::changed:
      return subject + words.effect(change.after) +
             " (changed: " + differing_fields(change.before, change.after) + ")";
    case change_kind::removed:
      break;
  }
  return subject + words.removal(change.before, after);
}

}  // namespace crocusdoor::detail
