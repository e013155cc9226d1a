#pragma once

/// Interactive transactions of one database. Each has one connection of the
/// primary's pool to itself until it ends; a connection whose state is in
/// doubt is closed, which makes the member roll back.
///
/// Example:
///   Transactions transactions(config, epoch, leader, pools, timers, ports);
///   transactions.SubmitRequest(request);  // begin, statement, commit or
///   rollback

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "kingcuplock/base/connection_id.h"
#include "kingcuplock/base/timer_service.h"
#include "kingcuplock/owner/group_controller.h"
#include "kingcuplock/owner/owner_request.h"
#include "kingcuplock/owner/request_runner.h"
#include "kingcuplock/schema/manifest.h"

namespace kingcuplock {

/// What transactions use and report to.
struct TransactionCallbacks {
  /// Answers a step.
  FinishCallback finish;
  /// Holds the answer to a commit that the primary carried out.
  std::function<void(const RequestPtr&, const MemberAnswer&)>
      answer_once_acknowledged;
  /// Finds out what became of a commit whose transaction is not open here.
  std::function<void(const RequestPtr&)> resolve_outcome;
  /// The database has a newer owner.
  std::function<void()> on_fenced_out;
};

/// Not thread safe. A step is O(log n) in open transactions.
class Transactions {
 public:
  Transactions(std::int64_t epoch,
               GroupController& leader,
               MemberPools& pools,
               UnansweredWrites& unanswered_writes,
               TimerService& timers,
               TransactionCallbacks ports);
  ~Transactions();
  Transactions(const Transactions&) = delete;
  auto operator=(const Transactions&) -> Transactions& = delete;

  /// Takes a step. Precondition: it is not of kind `single`.
  void SubmitRequest(const RequestPtr& request);

  /// Sends steps that wait for a slot.
  void SendWaiting();

  /// Rolls a transaction back whose step is given up by its deadline.
  void DropRequest(const RequestPtr& request);

  /// Rolls back what was begun on an inbound connection that ended. A commit
  /// that was sent goes on.
  void OnInboundConnectionClosed(ConnectionId source);

  /// Rolls all back.
  void RollBackAll();

  /// Returns whether the handle is of an open transaction.
  auto IsOpen(const std::string& handle) const -> bool {
    return open_.contains(handle);
  }

  /// Returns the number of open transactions.
  auto OpenCount() const -> std::size_t { return open_.size(); }

 private:
  struct Transaction {
    std::string member;
    std::int64_t term = 0;
    ConnectionId connection = 0;
    ConnectionId source = 0;
    TimerId idle_timer = 0;
    /// The step that is at the member.
    RequestPtr running;
    std::deque<RequestPtr> waiting;
  };

  void Begin(const RequestPtr& request);
  auto NewHandle(const RequestPtr& request) -> std::string;
  void Send(const std::string& handle);
  auto BuildCall(const OwnerRequest& request, MemberOp op) const
      -> MemberRequest;
  void SendOp(const std::string& handle,
              const RequestPtr& request,
              MemberOp op);
  void OnAnswer(const std::string& handle,
                const RequestPtr& request,
                MemberOp op,
                const MemberAnswer* answer);
  void OnCommitted(const std::string& handle,
                   const RequestPtr& request,
                   const MemberAnswer& answer);
  void Answer(const std::string& handle,
              const RequestPtr& request,
              const MemberAnswer& answer);
  void Lose(const std::string& handle, const RequestPtr& request, MemberOp op);
  void End(const std::string& handle, bool clean);
  void WatchIdle(const std::string& handle);

  std::int64_t epoch_;
  GroupController& leader_;
  MemberPools& pools_;
  UnansweredWrites& open_sends_;
  TimerService& timers_;
  TransactionCallbacks ports_;
  std::int64_t last_handle_ = 0;
  std::map<std::string, Transaction> open_;
};

}  // namespace kingcuplock
