#include "kingcuplock/gateway/gateway_outbox.h"

namespace kingcuplock {

auto ToString(PromotionOutcome outcome) -> std::string_view {
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      return "accepted";
    case PromotionOutcome::kRejected:
      return "rejected";
    case PromotionOutcome::kUnavailable:
      return "unavailable";
    case PromotionOutcome::kLost:
      return "lost";
  }
  return "lost";
}

}  // namespace kingcuplock
