#pragma once

/// Makes callbacks harmless once the object that handed them out is gone.
///
/// Example:
///   link.Call(request, timeout, guard_.Bind([this](auto* it) { Use(it); }));

#include <memory>
#include <utility>

namespace kingcuplock {

/// A member of the object that hands out callbacks. Not thread safe.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  auto operator=(const CallbackGuard&) -> CallbackGuard& = delete;

  /// Makes every callable handed out harmless from now on.
  auto Release() -> void { token_.reset(); }

  /// Returns a callable that calls `callback` while this guard lives and does
  /// nothing afterwards.
  template <typename Callback>
  auto Bind(Callback callback) const {
    return [weak = std::weak_ptr<int>(token_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!weak.expired()) {
        callback(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

}  // namespace kingcuplock
