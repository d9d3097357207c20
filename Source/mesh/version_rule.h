#pragma once

#include <cstdint>
#include <string>

namespace crocusdoor {

/// Which upstreams of a service a request may be sent to while one of its versions is rolled out.
struct version_rule {
  enum class kind {
    any,     ///< All upstreams.
    except,  ///< All upstreams but those of the version.
    only,    ///< Only upstreams of the version.
    few,     ///< Only few upstreams of the version, in proportion to its share of the requests.
  };
  kind use = kind::any;
  std::string version;
  std::int32_t permille = 0;   ///< Share of the version, if `use` is `few`.
  bool otherwise_any = false;  ///< Whether any upstream may be used if none is permitted.
  friend bool operator==(const version_rule&, const version_rule&) = default;
};

}  // namespace crocusdoor
