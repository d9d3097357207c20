#include "configuration/head_document.h"

#include <set>
#include <utility>

#include "configuration/document_parser.h"

namespace crocusdoor {

namespace {

void check_changes(const head_document& head, std::vector<decode_problem>& problems) {
  if (head.changes.size() > head_change_limit) {
    problems.push_back(
        {"/changes", "at most " + std::to_string(head_change_limit) + " changes are accepted"});
  }
  std::set<std::string> plan_ids;
  version_number previous = 0;
  for (std::size_t i = 0; i < head.changes.size(); ++i) {
    const change_record& change = head.changes[i];
    const std::string path = "/changes/" + std::to_string(i);
    if (change.version <= previous || change.version > head.content.version) {
      problems.push_back(
          {path + "/version", "versions of changes rise up to the version of the content"});
    }
    if (!plan_ids.insert(change.plan_id).second) {
      problems.push_back({path + "/plan_id", "plan \"" + change.plan_id + "\" is listed twice"});
    }
    previous = change.version;
  }
  if (!head.changes.empty() && head.changes.back().effect_digest != head.content_digest) {
    problems.push_back({"/changes", "the last change has another digest than the content"});
  }
}

std::string encode(const json& document) {
  // Invalid UTF-8 is refused when intents are validated; here it is replaced, so that encoding does
  // not throw.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::size_t encoded_size(const change_record& change) {
  return encode(encode_value(change)).size();
}

failure too_large(std::size_t size) {
  return failure{error_code::over_limit, "the configuration head has " + std::to_string(size) +
                                             " bytes; " + std::to_string(head_size_limit_bytes) +
                                             " are accepted"};
}

}  // namespace

std::vector<decode_problem> validate(const head_document& head) {
  std::vector<decode_problem> problems = validate(head.content);
  const snapshot_fingerprints fingerprints = fingerprints_of(head.content);
  if (fingerprints.encoded_size > snapshot_size_limit_bytes) {
    problems.push_back({"/content", "the content has " + std::to_string(fingerprints.encoded_size) +
                                        " bytes; " + std::to_string(snapshot_size_limit_bytes) +
                                        " are accepted"});
  }
  if (fingerprints.content_digest != head.content_digest) {
    problems.push_back({"/digest", "the digest does not match the content"});
  }
  check_changes(head, problems);
  return problems;
}

std::string encode_head(const head_document& head) {
  return encode(encode_value(head));
}

leaf::result<head_document> parse_head(std::string_view text) {
  if (text.size() > head_size_limit_bytes) {
    return leaf::new_error(too_large(text.size()));
  }
  BOOST_LEAF_AUTO(document, parse_document(text, position_tracking::omitted));
  record_decoder decoder(unknown_keys::refused);
  head_document head;
  decoder.decode(document.value, head);
  if (!decoder.ok()) {
    return leaf::new_error(failure{error_code::malformed, describe_problems(decoder.problems())});
  }
  const std::vector<decode_problem> problems = validate(head);
  if (!problems.empty()) {
    return leaf::new_error(failure{error_code::invalid, describe_problems(problems)});
  }
  return head;
}

leaf::result<head_document> with_change(head_document head, change_record change) {
  head.changes.push_back(std::move(change));
  while (head.changes.size() > head_change_limit) {
    head.changes.erase(head.changes.begin());
  }
  std::size_t size = encode_head(head).size();
  for (std::size_t i = 0; i < head.changes.size() && size > head_size_limit_bytes; ++i) {
    change_record& oldest = head.changes[i];
    size -= encoded_size(oldest);
    oldest.left_out += oldest.touched.size();
    oldest.touched.clear();
    oldest.sentences.clear();
    size += encoded_size(oldest);
  }
  if (size > head_size_limit_bytes) {
    return leaf::new_error(too_large(size));
  }
  return head;
}

}  // namespace crocusdoor
