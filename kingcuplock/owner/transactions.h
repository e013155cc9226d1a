#pragma once

/// Interactive transactions of one database. Each has a connection of the
/// primary's pool for itself until it ends. If it is not known whether the
/// transaction is still open on the connection, the connection is closed, which
/// makes the member roll back.
///
/// Example:
///   Transactions transactions(epoch, controller, pools, unanswered_writes,
///                             timers, callbacks);
///   transactions.SubmitRequest(request);

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

/// Callbacks of Transactions to the database owner.
struct TransactionCallbacks {
  /// Answers a request.
  FinishCallback finish;
  /// Takes the primary's answer to a commit that it ran, and answers the
  /// request once the commit may be acknowledged.
  std::function<void(const RequestPtr&, const MemberAnswer&)>
      answer_once_acknowledged;
  /// Finds out whether a commit ran whose transaction is not open here, and
  /// answers the request.
  std::function<void(const RequestPtr&)> resolve_outcome;
  /// Called when the database has a newer owner.
  std::function<void()> on_fenced_out;
};

/// The open transactions. Not thread safe. A step is O(log n) in their number.
class Transactions {
 public:
  Transactions(std::int64_t epoch,
               GroupController& controller,
               MemberPools& pools,
               UnansweredWrites& unanswered_writes,
               TimerService& timers,
               TransactionCallbacks callbacks);
  ~Transactions();
  Transactions(const Transactions&) = delete;
  auto operator=(const Transactions&) -> Transactions& = delete;

  /// Serves a begin, statement, commit or rollback. A step of a transaction
  /// that is not open here is answered transaction_unknown, but the outcome of
  /// a commit is found out first. Precondition: the step is not `single`.
  void SubmitRequest(const RequestPtr& request);

  /// Sends the steps that wait for a slot, as far as slots are free.
  void SendWaiting();

  /// Rolls back the transaction of a step that was not answered by its
  /// deadline, unless its commit was sent.
  void DropRequest(const RequestPtr& request);

  /// Rolls back the transactions begun on `source`, an inbound connection that
  /// has closed. A commit that was sent goes on.
  void OnInboundConnectionClosed(ConnectionId source);

  /// Rolls back all transactions.
  void RollBackAll();

  /// Returns whether `handle` is the handle of an open transaction.
  auto IsOpen(const std::string& handle) const -> bool {
    return open_.contains(handle);
  }

  /// Returns the number of open transactions.
  auto OpenCount() const -> std::size_t { return open_.size(); }

 private:
  /// An open transaction and the connection that is pinned for it.
  struct Transaction {
    std::string member;
    std::int64_t term = 0;
    ConnectionId connection = 0;
    ConnectionId source = 0;
    TimerId idle_timer = 0;
    /// The step that was sent and has no answer yet.
    RequestPtr running;
    /// The steps after it.
    std::deque<RequestPtr> waiting;
  };

  void BeginTransaction(const RequestPtr& request);
  auto NewHandle(const RequestPtr& request) -> std::string;
  void SendNextStep(const std::string& handle);
  auto BuildMemberRequest(const OwnerRequest& request, MemberOp op) const
      -> MemberRequest;
  void SendStep(const std::string& handle,
                const RequestPtr& request,
                MemberOp op);
  void OnAnswer(const std::string& handle,
                const RequestPtr& request,
                MemberOp op,
                const MemberAnswer* answer);
  void OnCommitted(const std::string& handle,
                   const RequestPtr& request,
                   const MemberAnswer& answer);
  void AnswerStep(const std::string& handle,
                  const RequestPtr& request,
                  const MemberAnswer& answer);
  void OnAnswerLost(const std::string& handle,
                    const RequestPtr& request,
                    MemberOp op);
  /// Ends a transaction and answers the steps that wait. `clean` says that its
  /// connection may be used again; otherwise it is closed.
  void EndTransaction(const std::string& handle, bool clean);
  void StartIdleTimer(const std::string& handle);

  std::int64_t epoch_;
  GroupController& controller_;
  MemberPools& pools_;
  UnansweredWrites& unanswered_writes_;
  TimerService& timers_;
  TransactionCallbacks callbacks_;
  std::int64_t last_handle_ = 0;
  /// Open transactions, by handle.
  std::map<std::string, Transaction> open_;
};

}  // namespace kingcuplock
