#include "kingcuplock/endpoint/member_client.h"

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
  FailAllCalls();
}

void MemberClient::Call(MemberRequest request,
                        Duration timeout,
                        MemberCallback callback) {
  request.id = ++last_request_id_;
  const auto id = request.id;
  // Without a connection, open or being opened, there can be no answer: the
  // call fails at once.
  const auto longest = IsConnecting() ? timeout : Duration::zero();
  const auto timer = timers_.After(longest, [this, id] { FailCall(id); });
  calls_.emplace(id, PendingCall{std::move(callback), timer});
  if (open_) {
    outbox_.Send(connection_, std::move(request));
  } else {
    unsent_requests_.push_back(std::move(request));
  }
}

auto MemberClient::OnOpened(ConnectionId connection) -> bool {
  if (connection != connection_) {
    return false;
  }
  open_ = true;
  for (auto& it : std::exchange(unsent_requests_, {})) {
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
  FailAllCalls();
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

void MemberClient::FailCall(std::int64_t id) {
  auto node = calls_.extract(id);
  if (!node.empty()) {
    node.mapped().callback(nullptr);
  }
}

void MemberClient::FailAllCalls() {
  unsent_requests_.clear();
  for (auto& [id, call] : std::exchange(calls_, {})) {
    timers_.Cancel(call.timer);
    call.callback(nullptr);
  }
}

}  // namespace kingcuplock
