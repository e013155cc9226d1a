#pragma once

/// Bounded rings that join the threads of an instance, and the waker with
/// which a producer rouses a sleeping consumer.
///
/// Example:
///   SpscRing<Event> ring(4096);
///   if (!ring.TryPush(event)) { Refuse(event); }

#include <atomic>
#include <chrono>
#include <cstddef>
#include <semaphore>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace kingcuplock {

/// Single-producer, single-consumer ring. Wait-free; a full ring refuses.
template <typename T>
class SpscRing {
 public:
  explicit SpscRing(std::size_t capacity) : queue_(capacity) {}

  /// Returns false, leaving `item` as it is, when the ring is full. Called by
  /// the producer only.
  auto TryPush(T& item) -> bool {
    if (queue_.write_available() == 0) {
      return false;
    }
    return queue_.push(std::move(item));
  }

  /// Returns false when the ring is empty. Called by the consumer only.
  auto TryPop(T& out) -> bool { return queue_.pop(out); }

 private:
  boost::lockfree::spsc_queue<T> queue_;
};

/// Lets one thread sleep until another wakes it. Thread safe.
class Waker {
 public:
  /// Wakes the sleeper, or makes its next sleep return at once.
  void Wake() {
    if (!signaled_.exchange(true, std::memory_order_acq_rel)) {
      semaphore_.release();
    }
  }

  /// Sleeps until woken or until `timeout` passed. One sleeper only.
  template <typename Timeout>
  void SleepFor(Timeout timeout) {
    if (semaphore_.try_acquire_for(timeout)) {
      signaled_.store(false, std::memory_order_release);
    }
  }

 private:
  std::atomic<bool> signaled_{false};
  std::binary_semaphore semaphore_{0};
};

}  // namespace kingcuplock
