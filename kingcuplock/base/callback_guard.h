#pragma once

/// Turns callbacks into no-ops once the object that they refer to is gone.
///
/// Example:
///   client.Call(request, timeout,
///               guard_.Bind([this](auto* answer) { OnAnswer(answer); }));

#include <memory>
#include <utility>

namespace kingcuplock {

/// Data member of an object that passes out callbacks which refer to it. Not
/// thread safe.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  auto operator=(const CallbackGuard&) -> CallbackGuard& = delete;

  /// Turns every callable that Bind() has returned into a no-op.
  auto Release() -> void { token_.reset(); }

  /// Returns a callable that calls `callback` until Release() or the end of
  /// this guard, and does nothing afterwards.
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
