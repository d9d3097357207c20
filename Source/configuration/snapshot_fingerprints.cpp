#include "configuration/snapshot_fingerprints.h"

#include <string>
#include <utility>

#include "configuration/resource_types.h"
#include "configuration/snapshot.h"

namespace crocusdoor {

namespace {

template <typename Resource>
resource_fingerprint fingerprint_of(const Resource& resource) {
  const std::string encoded =
      encode_value(resource).dump(-1, ' ', false, json::error_handler_t::replace);
  return {digest_of(encoded), encoded.size()};
}

/// Computes the fingerprints of a snapshot from its resources, added in the order of its maps.
class fingerprint_builder {
 public:
  explicit fingerprint_builder(const snapshot& content) {
    digested_ = std::to_string(content.version);
    constexpr std::string_view frame = R"({"actions":{},"routes":{},"services":{},"version":})";
    result_.encoded_size = frame.size() + digested_.size();
  }

  /// Adds the resources of one kind. `known` points to the fingerprints of the resources in
  /// `similar`, in the order of that map.
  template <typename Members>
  void add(resource_kind kind, const Members& members, const Members& similar,
           const resource_fingerprint* known) {
    digested_ += '/';
    digested_ += to_string(kind);
    result_.encoded_size += members.empty() ? 0 : members.size() - 1;  // Commas.
    auto candidate = similar.begin();
    for (const auto& [name, resource] : members) {
      for (; candidate != similar.end() && candidate->first < name; ++candidate) {
        ++known;
      }
      const bool unchanged =
          candidate != similar.end() && candidate->first == name && candidate->second == resource;
      add_resource(name.str(), unchanged ? *known : fingerprint_of(resource));
    }
  }

  snapshot_fingerprints finish() {
    result_.content_digest = digest_of(digested_);
    return std::move(result_);
  }

 private:
  void add_resource(const std::string& name, resource_fingerprint fingerprint) {
    constexpr std::size_t key_punctuation = 3;  // Two quotation marks and a colon.
    result_.encoded_size += name.size() + key_punctuation + fingerprint.encoded_size;
    digested_ += ' ' + std::to_string(name.size()) + ':' + name;
    digested_ += fingerprint.content_digest.str();
    result_.resources.push_back(std::move(fingerprint));
  }

  std::string digested_;
  snapshot_fingerprints result_;
};

}  // namespace

snapshot_fingerprints fingerprints_of(const snapshot& content) {
  return fingerprints_of(content, snapshot{}, snapshot_fingerprints{});
}

snapshot_fingerprints fingerprints_of(const snapshot& content, const snapshot& similar,
                                      const snapshot_fingerprints& known) {
  fingerprint_builder builder(content);
  const resource_fingerprint* next = known.resources.data();
  detail::for_each_resource_type([&](const auto& type) {
    builder.add(type.kind, content.*(type.members), similar.*(type.members), next);
    next += (similar.*(type.members)).size();
  });
  return builder.finish();
}

}  // namespace crocusdoor
