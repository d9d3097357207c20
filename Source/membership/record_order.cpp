#include "membership/record_order.h"

#include <tuple>

namespace crocusdoor {

bool replaces(const instance_record& candidate, const instance_record& current) {
  const auto rank = [](const instance_record& record) {
    return std::tie(record.incarnation, record.sequence, record.domain, record.region,
                    record.service, record.address, record.peer_port, record.api_port, record.slots,
                    record.state);
  };
  return rank(candidate) > rank(current);
}

}  // namespace crocusdoor
