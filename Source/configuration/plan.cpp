#include "configuration/plan.h"

#include <utility>

#include "configuration/document_parser.h"
#include "configuration/plan_sentences.h"
#include "configuration/resource_types.h"
#include "core/utf8.h"

namespace crocusdoor {

namespace {

/// Maximum sizes in bytes of the parts of a change record whose length depends on the change. They
/// keep 64 change records below 100 KB, the difference between the size limits of the head and of
/// the snapshot.
constexpr std::size_t sentences_limit_bytes = 500;
constexpr std::size_t touched_limit_bytes = 500;

constexpr std::size_t plan_id_limit_bytes = 64;

leaf::error_id invalid(const std::vector<decode_problem>& problems) {
  return leaf::new_error(failure{error_code::invalid, describe_problems(problems)});
}

/// Appends the names of the resources of one kind that use a service: "route a, route b".
template <typename Members>
void list_users(const char* kind, const Members& members, const service_name& used,
                std::string& text) {
  for (const auto& [name, resource] : members) {
    if (resource.service == used) {
      text += (text.empty() ? "" : ", ") + std::string(kind) + name.str();
    }
  }
}

/// Applies intents to a snapshot and collects the problems found.
class intent_application {
 public:
  explicit intent_application(snapshot base) : content_(std::move(base)) {}

  void apply(const std::string& path, const intent& applied) {
    detail::for_each_resource_type([&](const auto& type) {
      auto& members = content_.*(type.members);
      if (const auto& put = applied.*(type.put); put.has_value()) {
        members.insert_or_assign(put->name, *put);
      }
      if (const auto& name = applied.*(type.remove);
          name.has_value() && members.erase(*name) == 0) {
        const std::string kind(to_string(type.kind));
        problems_.push_back(
            {path + "/remove_" + kind, kind + " \"" + name->str() + "\" does not exist"});
      }
    });
  }

  /// A removed service must have no users in the resulting snapshot.
  void check_removed_service(const std::string& path, const intent& applied) {
    if (!applied.remove_service.has_value()) {
      return;
    }
    std::string users;
    list_users("route ", content_.routes, *applied.remove_service, users);
    list_users("action ", content_.actions, *applied.remove_service, users);
    if (!users.empty()) {
      problems_.push_back({path + "/remove_service",
                           "service \"" + applied.remove_service->str() + "\" is still used by " +
                               users + "; change or remove these in the same document"});
    }
  }

  [[nodiscard]] const std::vector<decode_problem>& problems() const { return problems_; }
  snapshot& content() { return content_; }

 private:
  snapshot content_;
  std::vector<decode_problem> problems_;
};

/// Snapshot that results from a plan, and its digest. `effect_of` fails if the snapshot is too
/// large.
struct effect {
  snapshot content;
  digest content_digest;
};

leaf::result<effect> effect_of(const snapshot& base, const intent_document& document) {
  BOOST_LEAF_AUTO(content, apply_intents(base, document));
  snapshot_fingerprints fingerprints = fingerprints_of(content);
  if (fingerprints.encoded_size > snapshot_size_limit_bytes) {
    return leaf::new_error(failure{
        error_code::over_limit, "the configuration would have " +
                                    std::to_string(fingerprints.encoded_size) + " bytes; " +
                                    std::to_string(snapshot_size_limit_bytes) + " are accepted"});
  }
  return effect{std::move(content), std::move(fingerprints.content_digest)};
}

std::vector<std::string> sentences_of(const std::vector<resource_change>& changes,
                                      const snapshot& after) {
  std::vector<std::string> sentences;
  sentences.reserve(changes.size());
  for (const resource_change& change : changes) {
    sentences.push_back(detail::describe_change(change, after));
  }
  return sentences;
}

std::vector<std::string> shortened(std::vector<std::string> sentences) {
  std::size_t kept = 0;
  std::size_t size = 0;
  while (kept < sentences.size() && size + sentences[kept].size() <= sentences_limit_bytes) {
    size += sentences[kept++].size();
  }
  const std::size_t left_out = sentences.size() - kept;
  sentences.resize(kept);
  if (left_out > 0) {
    sentences.push_back("and " + std::to_string(left_out) + " more");
  }
  return sentences;
}

void add_touched(const std::vector<resource_change>& changes, change_record& record) {
  std::size_t size = 0;
  for (const resource_change& change : changes) {
    touched_resource touched{change.kind, change.name, change.change, std::nullopt};
    if (change.change != change_kind::removed) {
      record_decoder decoder(unknown_keys::ignored);
      decoder.decode(change.after.at("decision"), touched.decision.emplace());
    }
    size += encode_value(touched).dump().size();
    if (size > touched_limit_bytes) {
      ++record.left_out;
    } else {
      record.touched.push_back(std::move(touched));
    }
  }
}

change_record record_of(const plan& submitted, const effect& result, const snapshot& base,
                        wall_time now) {
  const std::vector<resource_change> changes = diff_snapshots(base, result.content);
  change_record record;
  record.plan_id = submitted.id;
  record.version = result.content.version;
  record.effect_digest = result.content_digest;
  record.operator_name = submitted.document.operator_name;
  record.confirmed_at_ms = now.time_since_epoch().count();
  record.reason = submitted.document.reason;
  record.sentences = shortened(sentences_of(changes, result.content));
  add_touched(changes, record);
  return record;
}

confirmation conflict_with(const head_document& head, const plan& submitted, std::string message) {
  confirmation result;
  result.outcome = confirmation_outcome::conflict;
  result.version = head.content.version;
  result.message = std::move(message);
  for (const change_record& change : head.changes) {
    if (change.version > submitted.base_version) {
      result.changed_since.push_back(change);
    }
  }
  const version_number known_from =
      head.changes.empty() ? head.content.version + 1 : head.changes.front().version;
  if (head.content.version > submitted.base_version && known_from > submitted.base_version + 1) {
    result.message +=
        "; earlier changes are no longer listed, so this plan itself may be among them";
  }
  return result;
}

/// The outcome of a confirmation if the head alone decides it: the plan has been confirmed already,
/// or it conflicts with the head. Returns nothing otherwise.
std::optional<confirmation> outcome_from_head(const head_document& head, const plan& submitted) {
  for (const change_record& change : head.changes) {
    if (change.plan_id != submitted.id) {
      continue;
    }
    if (change.effect_digest != submitted.effect_digest) {
      return conflict_with(head, submitted, "another plan with this identifier has been confirmed");
    }
    confirmation result;
    result.outcome = confirmation_outcome::already_confirmed;
    result.version = change.version;
    result.message = "the plan was confirmed as version " + std::to_string(change.version);
    return result;
  }
  if (head.content.version != submitted.base_version) {
    return conflict_with(
        head, submitted,
        "the plan was made against version " + std::to_string(submitted.base_version) +
            ", the configuration is at version " + std::to_string(head.content.version));
  }
  if (head.content_digest != submitted.base_digest) {
    return conflict_with(head, submitted,
                         "the plan was made against another content of this version");
  }
  return std::nullopt;
}

std::vector<decode_problem> check_identifier(const std::string& plan_id) {
  if (plan_id.empty() || plan_id.size() > plan_id_limit_bytes || !is_utf8(plan_id)) {
    return {{"/id", "a plan identifier has 1 to " + std::to_string(plan_id_limit_bytes) +
                        " bytes of valid UTF-8"}};
  }
  return {};
}

}  // namespace

leaf::result<snapshot> apply_intents(const snapshot& base, const intent_document& document) {
  std::vector<decode_problem> problems = validate(document);
  if (!problems.empty()) {
    return invalid(problems);
  }
  intent_application application(base);
  for (std::size_t i = 0; i < document.intents.size(); ++i) {
    application.apply("/intents/" + std::to_string(i), document.intents[i]);
  }
  for (std::size_t i = 0; i < document.intents.size(); ++i) {
    application.check_removed_service("/intents/" + std::to_string(i), document.intents[i]);
  }
  if (!application.problems().empty()) {
    return invalid(application.problems());
  }
  snapshot& content = application.content();
  problems = validate(content);
  if (!problems.empty()) {
    return invalid(problems);
  }
  if (content == base) {
    return leaf::new_error(failure{error_code::invalid, "the intents change nothing"});
  }
  ++content.version;
  return std::move(content);
}

leaf::result<plan> make_plan(const head_document& base, const intent_document& document,
                             std::string plan_id, const std::vector<affected_instance>& affected) {
  const std::vector<decode_problem> problems = check_identifier(plan_id);
  if (!problems.empty()) {
    return invalid(problems);
  }
  BOOST_LEAF_AUTO(result, effect_of(base.content, document));
  plan new_plan;
  new_plan.id = std::move(plan_id);
  new_plan.base_version = base.content.version;
  new_plan.base_digest = base.content_digest;
  new_plan.document = document;
  new_plan.effect_digest = result.content_digest;
  new_plan.changes = diff_snapshots(base.content, result.content);
  new_plan.sentences = sentences_of(new_plan.changes, result.content);
  for (const affected_instance& instance : affected) {
    ++new_plan.where[instance.domain];
  }
  return new_plan;
}

leaf::result<plan> parse_plan(std::string_view text) {
  BOOST_LEAF_AUTO(document, parse_document(text));
  record_decoder decoder(unknown_keys::refused);
  plan parsed;
  decoder.decode(document.value, parsed);
  if (!decoder.ok()) {
    return leaf::new_error(
        failure{error_code::malformed, describe_problems(document, decoder.problems())});
  }
  std::vector<decode_problem> problems = check_identifier(parsed.id);
  for (decode_problem& problem : validate(parsed.document)) {
    problems.push_back({"/document" + problem.path, std::move(problem.message)});
  }
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::invalid, describe_problems(document, problems)});
  }
  return parsed;
}

leaf::result<confirmation> confirm_plan(const head_document& head, const plan& submitted,
                                        std::string nonce, wall_time now) {
  const std::vector<decode_problem> problems = check_identifier(submitted.id);
  if (!problems.empty()) {
    return invalid(problems);
  }
  if (std::optional<confirmation> decided = outcome_from_head(head, submitted);
      decided.has_value()) {
    return std::move(*decided);
  }
  BOOST_LEAF_AUTO(result, effect_of(head.content, submitted.document));
  if (result.content_digest != submitted.effect_digest) {
    return leaf::new_error(failure{
        error_code::invalid, "the effect of the intents is not the effect that the plan states"});
  }
  change_record record = record_of(submitted, result, head.content, now);
  confirmation confirmed;
  confirmed.outcome = confirmation_outcome::advance;
  confirmed.version = result.content.version;
  confirmed.message = "the plan makes version " + std::to_string(result.content.version);
  head_document next{std::move(result.content), result.content_digest, std::move(nonce),
                     head.changes};
  BOOST_LEAF_ASSIGN(confirmed.next, with_change(std::move(next), std::move(record)));
  return confirmed;
}

}  // namespace crocusdoor
