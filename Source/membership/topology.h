#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/directory.h"

namespace crocusdoor {

inline constexpr std::size_t neighbours_inside = 3;   ///< Control neighbours in the own domain.
inline constexpr std::size_t neighbours_outside = 3;  ///< Control neighbours in other domains.
inline constexpr std::size_t watchers_per_domain = 2;

/// The instances to which this daemon keeps control links: up to three in its failure domain (two
/// successors on the ring of the domain, one by rendezvous hash) and up to three outside (one in
/// the next domain by name, two by rendezvous hash). The rings make the graph of all daemons
/// strongly connected and every instance the neighbour of at least one other; by rendezvous hash
/// alone about one instance in 400 is chosen by no other, and its death would not be detected.
/// Recompute when `directory::revision` has changed.
[[nodiscard]] std::vector<instance_name> control_neighbours(const directory& known);
/// The neighbours that another live instance, `chooser`, chooses if its directory is the same.
[[nodiscard]] std::vector<instance_name> control_neighbours(const directory& known,
                                                            const instance_record& chooser);

/// The instances of a failure domain that hold a watch on the configuration head: the first two by
/// rendezvous hash that are starting or ready. A suspect watcher is replaced at once, since a third
/// watch costs little; suspect and draining instances watch only if the domain has no other
/// instance.
[[nodiscard]] std::vector<instance_name> watchers(const directory& known,
                                                  const failure_domain& domain);

/// Whether this daemon is a watcher of its failure domain.
[[nodiscard]] bool is_watcher(const directory& known);

/// The owner of a run-once shard: the first live instance by rendezvous hash that is not draining.
/// A suspect owner keeps its shards until it is declared dead, since a takeover costs platform
/// calls. Daemons may disagree for some seconds; the shard log fences the former owner.
[[nodiscard]] instance_name shard_owner(const directory& known, std::uint32_t shard);

}  // namespace crocusdoor
