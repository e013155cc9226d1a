#include "kingcuplock/endpoint/member_link.h"

#include <utility>

namespace kingcuplock {

MemberClient::MemberClient(MemberConfig member,
                           TimerService& timers,
                           Outbox& outbox)
    : member_(std::move(member)), timers_(timers), outbox_(outbox) {}

MemberClient::~MemberClient() {
  for (const auto& [id, call] : calls_) {
    timers_.Cancel(call.timer);
  }
  if (connection_ != 0) {
    outbox_.Close(connection_);
  }
}

void MemberClient::Reconnect(Duration timeout) {
  const auto old = std::exchange(connection_, 0);
  if (old != 0) {
    outbox_.Close(old);
  }
  open_ = false;
  const auto timeout_ms =
      std::chrono::duration_cast<Milliseconds>(timeout).count();
  connection_ = outbox_.Open(ConnectionKind::kMember, member_.host,
                             member_.port, static_cast<int>(timeout_ms));
  FailAll();
}

void MemberClient::Call(MemberRequest request,
                        Duration timeout,
                        MemberCallback callback) {
  request.id = ++last_id_;
  const auto id = request.id;
  // A link that is closed and not being opened answers nothing.
  const auto longest = IsConnecting() ? timeout : Duration::zero();
  const auto timer = timers_.After(longest, [this, id] { Fail(id); });
  calls_.emplace(id, OpenCall{std::move(callback), timer});
  if (open_) {
    outbox_.Send(connection_, std::move(request));
  } else {
    unsent_.push_back(std::move(request));
  }
}

auto MemberClient::OnOpened(ConnectionId connection) -> bool {
  if (connection != connection_) {
    return false;
  }
  open_ = true;
  for (auto& it : std::exchange(unsent_, {})) {
    if (calls_.contains(it.id)) {
      outbox_.Send(connection_, std::move(it));
    }
  }
  return true;
}

auto MemberClient::OnClosed(ConnectionId connection) -> bool {
  if (connection != connection_) {
    return false;
  }
  connection_ = 0;
  open_ = false;
  FailAll();
  return true;
}

auto MemberClient::OnAnswer(ConnectionId connection, const MemberAnswer& answer)
    -> bool {
  if (connection != connection_) {
    return false;
  }
  last_heard_ = timers_.Now();
  auto node = calls_.extract(answer.id);
  if (!node.empty()) {
    timers_.Cancel(node.mapped().timer);
    node.mapped().callback(&answer);
  }
  return true;
}

void MemberClient::Fail(std::int64_t id) {
  auto node = calls_.extract(id);
  if (!node.empty()) {
    node.mapped().callback(nullptr);
  }
}

void MemberClient::FailAll() {
  unsent_.clear();
  for (auto& [id, call] : std::exchange(calls_, {})) {
    timers_.Cancel(call.timer);
    call.callback(nullptr);
  }
}

}  // namespace kingcuplock
