// The part of the keeper that writes ownership records, and begins and ends an
// ownership with the outcome.

#include <algorithm>
#include <utility>

#include "kingcuplock/ownership/ownership_keeper.h"
#include "kingcuplock/schema/codec.h"

namespace kingcuplock {
namespace {

/// Pause in ms before a write whose answer was lost is repeated.
constexpr int kRewriteMs = 20;

}  // namespace

auto OwnershipKeeper::ParseRecord(const std::string& text)
    -> std::optional<OwnerRecord> {
  try {
    return DecodeFrame(text, FrameFormat::kJson).get<OwnerRecord>();
  } catch (const SchemaError&) {
    return std::nullopt;
  }
}

void OwnershipKeeper::WriteRecord(const std::string& database,
                                  std::int64_t term,
                                  const std::string& primary,
                                  Phase phase,
                                  const std::vector<TermStart>& term_starts,
                                  WriteCallback callback) {
  const auto change = [term, primary, phase, term_starts](OwnerRecord& record) {
    record.term = term;
    record.primary = primary;
    record.phase = phase;
    record.term_starts = term_starts;
  };
  ChangeOwnedRecord(database, change, std::move(callback));
}

void OwnershipKeeper::RecordOrder(const std::string& database,
                                  const std::string& member,
                                  std::int64_t term,
                                  WriteCallback callback) {
  const auto change = [member, term](OwnerRecord& record) {
    record.ordered = member;
    if (member.empty()) {
      record.orders_unknown = false;
      record.term = std::max(record.term, term);
    }
  };
  ChangeOwnedRecord(database, change, std::move(callback));
}

void OwnershipKeeper::RaiseEpoch(const std::string& database,
                                 WriteCallback callback) {
  const auto change = [](OwnerRecord& record) { record.epoch += 1; };
  ChangeOwnedRecord(database, change, std::move(callback));
}

auto OwnershipKeeper::IsWritingRecord(std::string_view database) const -> bool {
  const auto it = entries_.find(database);
  return it != entries_.end() && it->second.writing;
}

void OwnershipKeeper::AcceptHandOver(const std::string& database) {
  const auto it = entries_.find(database);
  if (it != entries_.end() && !it->second.owned) {
    it->second.handed_over = true;
    EvaluateEntry(database, it->second);
  }
}

void OwnershipKeeper::Release(const std::string& database,
                              WriteCallback callback,
                              std::int64_t term,
                              bool open_order) {
  const auto change = [term, open_order](OwnerRecord& record) {
    record.term = std::max(record.term, term);
    // The phase of a promotion in progress stays, so that the successor resumes
    // it.
    if (record.phase == Phase::kServing) {
      record.phase = Phase::kReleased;
    }
    record.owner.clear();
    record.lease = 0;
    if (!open_order) {
      record.ordered.clear();
      record.orders_unknown = false;
    }
  };
  ChangeOwnedRecord(database, change, std::move(callback));
}

void OwnershipKeeper::Reacquire(const std::string& database,
                                std::int64_t seen_epoch) {
  const auto it = entries_.find(database);
  if (it == entries_.end() || !it->second.owned) {
    return;
  }
  auto& entry = it->second;
  entry.least_epoch = std::max(entry.record->epoch, seen_epoch) + 1;
  EndOwnership(database, entry);
  ReevaluateTakeover(database);
}

void OwnershipKeeper::ChangeOwnedRecord(const std::string& database,
                                        RecordChange change,
                                        WriteCallback callback) {
  const auto it = entries_.find(database);
  if (it == entries_.end() || !it->second.owned) {
    callback(false);
    return;
  }
  auto& entry = it->second;
  if (!entry.writing) {
    StartWrite(database, {std::move(change), std::move(callback)});
    return;
  }
  if (!entry.queued) {
    entry.queued = {std::move(change), std::move(callback)};
    return;
  }
  auto queued_write = std::move(*entry.queued);
  entry.queued = {
      [first = queued_write.change, second = change](OwnerRecord& record) {
        first(record);
        second(record);
      },
      [first = queued_write.callback, second = callback](bool written) {
        first(written);
        second(written);
      }};
}

void OwnershipKeeper::StartWrite(const std::string& database,
                                 const QueuedWrite& write) {
  auto next = *entries_.at(database).record;
  write.change(next);
  SwapRecord(database, std::move(next), write.callback);
}

void OwnershipKeeper::SwapRecord(const std::string& database,
                                 OwnerRecord record,
                                 WriteCallback callback) {
  auto& entry = entries_.at(database);
  entry.writing = true;
  record.attempt = NextAttemptId();
  SendSwap({database, std::move(record), entry.version,
            store_.era_change_count(), std::move(callback)});
}

void OwnershipKeeper::SendSwap(const Swap& swap) {
  StoreCall call;
  call.op = StoreOp::kCompareAndSwap;
  call.key = RecordKey(swap.database);
  call.value = EncodeJson(swap.record, FrameFormat::kJson);
  call.expected_version = swap.expected_version;
  store_.Call(std::move(call), [this, swap](const StoreAnswer* answer) {
    OnSwapAnswer(swap, answer);
  });
}

void OwnershipKeeper::OnSwapAnswer(const Swap& swap,
                                   const StoreAnswer* answer) {
  if (swap.era_change_count != store_.era_change_count()) {
    AbandonSwap(swap);
    return;
  }
  auto& entry = entries_.at(swap.database);
  if (answer == nullptr) {
    // Repeating the same swap is safe and yields a definite outcome: it is
    // applied at most once, and a conflict returns the record with the id of
    // the attempt that was applied.
    timers_.After(Milliseconds(kRewriteMs), [this, swap] {
      if (swap.era_change_count == store_.era_change_count()) {
        SendSwap(swap);
      } else {
        AbandonSwap(swap);
      }
    });
    return;
  }
  entry.writing = false;
  const auto current = answer->items.empty()
                           ? std::nullopt
                           : ParseRecord(answer->items.front().value);
  if (!answer->items.empty()) {
    SetRecord(entry, answer->items.front().version, current);
  }
  const auto written = current && current->attempt == swap.record.attempt;
  ApplySwapOutcome(swap.database, swap.record, written);
  swap.callback(written);
  if (current) {
    callbacks_.on_record_changed(swap.database, *current);
  }
  HandleDeferredRecord(swap.database);
  ReevaluateTakeover(swap.database);
}

// The expected version may belong to another record by now, so the swap is not
// repeated. The watch delivers what became of it.
void OwnershipKeeper::AbandonSwap(const Swap& swap) {
  auto& entry = entries_.at(swap.database);
  entry.writing = false;
  EndOwnership(swap.database, entry);
  swap.callback(false);
  HandleDeferredRecord(swap.database);
  ReevaluateTakeover(swap.database);
}

void OwnershipKeeper::ApplySwapOutcome(const std::string& database,
                                       const OwnerRecord& record,
                                       bool written) {
  auto& entry = entries_.at(database);
  if (!written || record.owner != names_.instance) {
    EndOwnership(database, entry);
    return;
  }
  if (!entry.owned && IsOwnedUnder(entry, record)) {
    BeginOwnership(database, entry);
  }
  if (entry.owned && entry.queued && !entry.writing) {
    StartWrite(database, *std::exchange(entry.queued, std::nullopt));
  }
}

void OwnershipKeeper::HandleDeferredRecord(const std::string& database) {
  const auto item = std::exchange(entries_.at(database).deferred, std::nullopt);
  if (item) {
    OnRecordChanged(*item, false);
  }
}

void OwnershipKeeper::BeginOwnership(const std::string& database,
                                     Entry& entry) {
  entry.owned = true;
  outbox_.Log(Event::kOwnerAcquired,
              {{"database", database},
               {"epoch", std::to_string(entry.record->epoch)},
               {"term", std::to_string(entry.record->term)}});
  callbacks_.on_acquired(database, *entry.record);
}

void OwnershipKeeper::EndOwnership(const std::string& database, Entry& entry) {
  if (std::exchange(entry.owned, false)) {
    outbox_.Log(Event::kOwnerLost, {{"database", database}});
    callbacks_.on_lost(database);
  }
  if (const auto queued = std::exchange(entry.queued, std::nullopt)) {
    queued->callback(false);
  }
}

void OwnershipKeeper::SetRecord(Entry& entry,
                                std::int64_t version,
                                std::optional<OwnerRecord> record) {
  entry.version = version;
  if (version != 0 && !record) {
    entry.unreadable_since = timers_.Now();
    return;
  }
  entry.unreadable_since.reset();
  entry.record = std::move(record);
  if (entry.record && !IsOfEarlierEra(*entry.record)) {
    entry.record_before_restore.reset();
  }
}

}  // namespace kingcuplock
