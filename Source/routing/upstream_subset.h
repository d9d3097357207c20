#pragma once

#include <cstddef>
#include <vector>

#include "routing/upstream.h"

namespace crocusdoor {

/// Largest number of upstreams of one service that a process calls: more connections than this no
/// longer improve the choice between two of them.
inline constexpr std::size_t subset_size_limit = 20;

/// Number of upstreams of a service that each caller connects to, so that an upstream stays within
/// its connection limit. Rendezvous hashing spreads callers unevenly, so four standard deviations
/// of the number of connections are kept in reserve. At least 2 upstreams, if there are 2, because
/// the choice between two needs them.
[[nodiscard]] std::size_t subset_size(std::size_t upstreams, const connection_limits& limits);

/// The upstreams that this caller uses: half from its own failure domain, then the same region,
/// then others, each ranked by rendezvous hashing, so that a change of one upstream replaces at
/// most one member of the subset.
[[nodiscard]] std::vector<upstream> choose_subset(std::vector<upstream> upstreams,
                                                  const caller_location& caller, std::size_t size);

}  // namespace crocusdoor
