#include "daemon/settings.h"

namespace crocusdoor {

std::string default_settings_text() {
  return R"json(// Settings of one crocusdoord: JSON with comments.
// A value marked "example" has no default and has to be replaced; every other key may be left out.
{
  "instance": {
    "name": "statements-1",  // example: unique in the mesh
    "domain": "domain-a",    // example: failure domain
    "region": "region-1"     // example
  },

  "listen": {
    "address": "127.0.0.1",  // example: numeric IPv4 address that the peers can reach
    "caller_port": 7400,     // requests of callers
    "peer_port": 7401,       // links from other daemons
    "api_port": 7402         // intent API, metrics and health
  },

  // The target beside this daemon.
  "target": {
    "address": "127.0.0.1",
    "port": 8080,              // example
    "service": "statements",   // example: the service that the target belongs to
    "slots": 1,                // example: requests that the target runs at the same time
    "connections": 100,        // at least the number of slots
    "health_path": "/health",
    "health_interval_ms": 1000
  },

  // The platform's object API.
  "platform": {
    "address": "127.0.0.1",       // example
    "port": 7500,                 // example
    "timeout_ms": 2000,           // of each call other than a watch
    "watch_wait_ms": 30000,       // longest wait of one watch call
    "connections": 4,             // besides the connection of the watch
    "read_capacity_per_s": 2000,  // reads that the platform accepts
    "read_share_percent": 50      // share of the capacity that the whole fleet may use
  },

  // Daemons to try first at the start: [{"address": "127.0.0.1", "port": 7411}]. The list may
  // contain this daemon itself.
  "peers": {
    "seeds": []
  },

  "timing": {
    "heartbeat_interval_ms": 1000,
    "heartbeat_timeout_ms": 3000,   // silence that makes a peer suspect; at least 2 intervals
    "suspicion_timeout_ms": 3000,   // a suspicion not refuted in this time means death
    "reconnect_base_ms": 100,       // first back-off after a lost connection
    "reconnect_limit_ms": 10000,    // longest back-off
    "catch_up_limit_ms": 250,       // wait for a configuration version that a call needs
    "claim_validity_ms": 30000,     // of the claim of a run-once action
    "clock_skew_limit_ms": 30000,   // assumed bound between the wall clocks of two machines
    "drain_limit_ms": 30000         // longest graceful stop
  },

  "limits": {
    "queue_length": 200,           // requests waiting for a slot of the target
    "caller_connections": 2000,
    "body_bytes": 1000000,         // largest request or response body
    "link_output_bytes": 4000000,  // unsent output of one link between daemons
    "subset_size": 20,             // upstreams of a service that this daemon calls
    "descriptors": 0,              // open files and sockets; 0: the limit of the system
    "memory_mb": 0,                // memory of the machine, bounds the buffers; 0: not known
    "retry_percent": 10,           // retries as a share of calls
    "hedge_percent": 5             // hedges as a share of calls
  },

  "log": {
    "directory": "",         // "" is standard error
    "minimum_level": "info"  // info, warning or error
  },

  "trace": {
    "buffer_spans": 1000  // finished spans kept in memory; 0 turns tracing off
  }
}
)json";
}

}  // namespace crocusdoor
