#include "kingcuplock/session/term_history.h"

#include <algorithm>
#include <optional>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcuplock {
namespace {

TEST_CASE("An entry is lost exactly if a later term began at or before it") {
  CHECK(rc::check([] {
    // The actual log: the term of the entry at each position.
    std::vector<std::int64_t> log;
    TermHistory history;
    std::vector<LogPosition> written;
    const auto terms = *rc::gen::inRange<std::int64_t>(1, 12);
    for (std::int64_t term = 1; term <= terms; ++term) {
      if (term > 1) {
        log.resize(*rc::gen::inRange<std::size_t>(0, log.size() + 1));
        history.NoteTermStart(term, static_cast<std::int64_t>(log.size()) + 1);
      }
      for (auto n = *rc::gen::inRange(1, 6); n > 0; --n) {
        log.push_back(term);
        written.push_back({term, static_cast<std::int64_t>(log.size())});
      }
    }
    const TermHistory restored(history.ToRecord());
    for (const auto& it : written) {
      const auto at = static_cast<std::size_t>(it.position) - 1;
      const auto survives = at < log.size() && log[at] == it.term;
      RC_ASSERT(restored.IsLost(it) == !survives);
    }
  }));
}

TEST_CASE("Merging old terms never reports a lost entry as kept") {
  CHECK(rc::check([] {
    TermHistory merged;
    std::vector<TermStart> starts;
    std::int64_t position = 1;
    const auto terms = TermHistory::kMaxTerms + 20;
    for (std::size_t n = 2; n < terms; ++n) {
      position = std::max<std::int64_t>(
          1, position + *rc::gen::inRange<std::int64_t>(-3, 9));
      starts.push_back({static_cast<std::int64_t>(n), position});
      merged.NoteTermStart(starts.back().term, position);
    }
    RC_ASSERT(merged.ToRecord().size() == TermHistory::kMaxTerms);
    const LogPosition entry{*rc::gen::inRange<std::int64_t>(1, 90),
                            *rc::gen::inRange<std::int64_t>(1, 400)};
    const auto truly_lost =
        std::any_of(starts.begin(), starts.end(), [&](const auto& it) {
          return it.term > entry.term && it.position <= entry.position;
        });
    RC_ASSERT(!truly_lost || merged.IsLost(entry));
  }));
}

TEST_CASE("Entries before a term of unknown start are reported as lost") {
  TermHistory history;
  history.NoteUnknownTermStart(4);
  CHECK(history.IsLost({3, 1}));
  CHECK_FALSE(history.IsLost({4, 1}));
  CHECK_FALSE(history.IsLost({0, 0}));
}

}  // namespace
}  // namespace kingcuplock
