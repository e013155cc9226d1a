#pragma once

/// Bounded queue between two threads, and a waker with which the producer wakes
/// the sleeping consumer.
///
/// Example:
///   SpscRing<NodeEvent> ring(4096);
///   if (!ring.TryPush(event)) { Refuse(event); }
///   waker.Wake();

#include <atomic>
#include <chrono>
#include <cstddef>
#include <semaphore>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace kingcuplock {

/// Single-producer, single-consumer ring buffer. Wait-free: when the ring is
/// full, pushing fails instead of waiting.
template <typename T>
class SpscRing {
 public:
  explicit SpscRing(std::size_t capacity) : queue_(capacity) {}

  /// Moves `item` into the ring. Returns false and leaves `item` unchanged when
  /// the ring is full. Called by the producer only.
  auto TryPush(T& item) -> bool {
    if (queue_.write_available() == 0) {
      return false;
    }
    return queue_.push(std::move(item));
  }

  /// Moves the oldest item into `out`. Returns false when the ring is empty.
  /// Called by the consumer only.
  auto TryPop(T& out) -> bool { return queue_.pop(out); }

 private:
  boost::lockfree::spsc_queue<T> queue_;
};

/// Lets one thread sleep until another one wakes it. Thread safe.
class Waker {
 public:
  /// Wakes the sleeping thread, or makes its next SleepFor() return at once.
  void Wake() {
    if (!signaled_.exchange(true, std::memory_order_acq_rel)) {
      semaphore_.release();
    }
  }

  /// Sleeps until Wake() is called or `timeout` has passed. Called by one
  /// thread only.
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
