#include "stand_ins/platform_faults.h"

#include <algorithm>

#include "stand_ins/control_document.h"

namespace crocusdoor::stand_ins {

leaf::result<void> platform_faults::apply(const std::string& order_document, time_point now) {
  BOOST_LEAF_AUTO(order, parse_control_document<platform_fault_order>(order_document));
  if (order.down_ms.count() > 0) {
    down_until_ = now + order.down_ms;
  }
  if (order.hang_ms.count() > 0) {
    hang_until_ = now + order.hang_ms;
  }
  if (order.for_ms.count() > 0) {
    delay_ = order.delay_ms;
    delay_until_ = now + order.for_ms;
  }
  responses_to_drop_ += order.lose_answers;
  return {};
}

call_treatment platform_faults::next(time_point now, bool write) {
  call_treatment result;
  if (down(now)) {
    result.refused = true;
    return result;
  }
  if (now < delay_until_) {
    result.wait = delay_;
  }
  if (now < hang_until_) {
    result.wait += hang_until_ - now;
  }
  if (write && responses_to_drop_ > 0) {
    --responses_to_drop_;
    result.drop_response = true;
  }
  return result;
}

}  // namespace crocusdoor::stand_ins
