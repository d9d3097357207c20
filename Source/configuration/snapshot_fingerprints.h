#pragma once

#include <cstddef>
#include <vector>

#include "core/digest.h"

namespace crocusdoor {

struct snapshot;

/// Digest and size of one encoded resource.
struct resource_fingerprint {
  digest content_digest;
  std::size_t encoded_size = 0;  ///< In bytes, as JSON.
  friend bool operator==(const resource_fingerprint&, const resource_fingerprint&) = default;
};

/// Digest and size of a snapshot, computed from those of its resources, so that only the changed
/// resources of a new version have to be encoded.
struct snapshot_fingerprints {
  std::vector<resource_fingerprint> resources;  ///< Services, routes, actions; each kind by name.
  digest content_digest;                        ///< Of the whole content, the version included.
  std::size_t encoded_size = 0;                 ///< Size of `encode_snapshot`, in bytes.
  friend bool operator==(const snapshot_fingerprints&, const snapshot_fingerprints&) = default;
};

/// Fingerprints of a snapshot; encodes every resource.
[[nodiscard]] snapshot_fingerprints fingerprints_of(const snapshot& content);

/// Fingerprints of a snapshot; encodes only the resources that differ from those in `similar`,
/// whose fingerprints are `known`.
[[nodiscard]] snapshot_fingerprints fingerprints_of(const snapshot& content,
                                                    const snapshot& similar,
                                                    const snapshot_fingerprints& known);

}  // namespace crocusdoor
