#include "plantainhead/core/jobs/vacancy_checker.h"

#include <catch2/catch.hpp>
#include <set>

namespace plantainhead::core::jobs {
namespace {

constexpr std::uint32_t kPartition = 7;
constexpr std::uint64_t kEpoch = 3;

vacancy_hint Offer(const vm_id& vm, std::uint64_t epoch = kEpoch) {
  return {vm, vacancy_reason::kOffered, kPartition, epoch};
}

// A pool's owner is suspended while its offer of a VM is on the way. Another
// owner takes the pool over, starts a lasting task on the VM, and then the
// offer arrives. If the fleet's owner acted on it, the move would end the task
// and users would miss it. The offer alone proves nothing; the record that the
// store refused does.
TEST_CASE("A late offer of a replaced owner moves no VM") {
  vacancy_checker checker{vacancy_settings()};
  checker.UpdateHints({Offer("vm-1")});

  SECTION("An offer counts for nothing before its partition was read") {
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
    CHECK(checker.TakePartitionsToRead() ==
          std::set<std::uint32_t>{kPartition});
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());

    SECTION("and then when the record was there") {
      checker.OnPartitionRead(kPartition, true, {"vm-1"});
      CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
            std::set<vm_id>{"vm-1"});
      CHECK(checker.Confirmed(vacancy_reason::kForService).empty());
      CHECK(checker.TakePartitionsToRead().empty());
    }

    SECTION("but not when the record wasn't, and it isn't asked for again") {
      checker.OnPartitionRead(kPartition, true, {"vm-2"});
      CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
      CHECK(checker.TakePartitionsToRead().empty());

      SECTION("until an owner of a later epoch offers the VM too") {
        checker.UpdateHints({Offer("vm-1", kEpoch + 1)});
        CHECK(checker.TakePartitionsToRead() ==
              std::set<std::uint32_t>{kPartition});
        checker.OnPartitionRead(kPartition, true, {"vm-1"});
        CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
              std::set<vm_id>{"vm-1"});
      }
    }

    SECTION("and is asked for again when the reading failed") {
      checker.OnPartitionRead(kPartition, false, {"vm-1"});
      CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
      CHECK(checker.TakePartitionsToRead() ==
            std::set<std::uint32_t>{kPartition});
    }
  }

  SECTION("A reading that began before the offer was read says nothing of it") {
    REQUIRE(checker.TakePartitionsToRead().size() == 1);
    checker.UpdateHints({Offer("vm-1"), Offer("vm-2")});
    CHECK(checker.TakePartitionsToRead().empty());
    checker.OnPartitionRead(kPartition, true, {"vm-1", "vm-2"});
    CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
          std::set<vm_id>{"vm-1"});
    CHECK(checker.TakePartitionsToRead() ==
          std::set<std::uint32_t>{kPartition});
  }

  SECTION("A hint that was taken back counts no more") {
    checker.TakePartitionsToRead();
    checker.OnPartitionRead(kPartition, true, {"vm-1"});
    checker.UpdateHints({});
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
  }
}

// The registry misses a VM for so long that its pool's owner drops the record
// of its vacancy. The VM comes back and the pool uses it again, but the list of
// the fleet has shown it all the while, so that its old offer stands. A newer
// reading of the partition shows that the record is gone; acted on, the offer
// would move the VM with what runs there.
TEST_CASE("An offer counts no longer than its record is there") {
  vacancy_checker checker{vacancy_settings()};
  checker.UpdateHints({Offer("vm-1")});
  checker.TakePartitionsToRead();
  checker.OnPartitionRead(kPartition, true, {"vm-1"});
  checker.UpdateHints({Offer("vm-1"), Offer("vm-2")});
  REQUIRE(checker.TakePartitionsToRead() ==
          std::set<std::uint32_t>{kPartition});
  checker.OnPartitionRead(kPartition, true, {"vm-2"});
  CHECK(checker.Confirmed(vacancy_reason::kOffered) == std::set<vm_id>{"vm-2"});
}

// The pool's owner drops the record of a VM and uses it again. No hint is new,
// so that no reading is due; the copy that is followed shows it all the same.
// Later the same owner empties the VM once more, and its hint is the one that
// was refuted: were that for good, the VM would stand idle and never move.
TEST_CASE("An offer ends with its record and counts again with the next one") {
  vacancy_checker checker{vacancy_settings()};
  checker.UpdateHints({Offer("vm-1")});
  checker.TakePartitionsToRead();

  SECTION("A copy says nothing of an offer whose reading is under way") {
    checker.UpdateVacant(kPartition, {"vm-1"});
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
  }

  SECTION("The copy of another partition doesn't end it") {
    checker.OnPartitionRead(kPartition, true, {"vm-1"});
    checker.UpdateVacant(kPartition + 1, {});
    CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
          std::set<vm_id>{"vm-1"});
  }

  SECTION("A copy of its partition without the record ends it") {
    checker.OnPartitionRead(kPartition, true, {"vm-1"});
    checker.UpdateVacant(kPartition, {});
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
    CHECK(checker.TakePartitionsToRead().empty());

    SECTION("and one with the record has the partition read again") {
      checker.UpdateVacant(kPartition, {"vm-1"});
      CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
      CHECK(checker.TakePartitionsToRead() ==
            std::set<std::uint32_t>{kPartition});
      checker.OnPartitionRead(kPartition, true, {"vm-1"});
      CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
            std::set<vm_id>{"vm-1"});
    }
  }

  SECTION("A reading that failed doesn't end an offer that was confirmed") {
    checker.OnPartitionRead(kPartition, true, {"vm-1"});
    checker.UpdateHints({Offer("vm-1"), Offer("vm-2")});
    checker.TakePartitionsToRead();
    checker.OnPartitionRead(kPartition, false, {});
    CHECK(checker.Confirmed(vacancy_reason::kOffered) ==
          std::set<vm_id>{"vm-1"});
  }
}

// A VM begins its life in a pool, is found to be one too many, and is given
// away within two seconds. The last list of the fleet was asked for before, and
// the registry is read up to 2 s late, so that neither shows it. Were its offer
// taken back as that of a dead one, its pool would use it no more and nobody
// would move it: after 25 s of such moves 10 of 49 VMs stood idle for good, and
// jobs were late for want of them.
TEST_CASE("An offered VM that isn't listed yet stays offered") {
  vacancy_checker checker{vacancy_settings()};
  time_point now{std::chrono::hours(1)};
  checker.UpdateHints({Offer("vm-1")});
  checker.TakePartitionsToRead();
  checker.OnPartitionRead(kPartition, true, {"vm-1"});
  CHECK(checker.TakeStaleOffers({}, now).empty());
  now += std::chrono::seconds(2);
  CHECK(checker.TakeStaleOffers({}, now).empty());
  CHECK(checker.TakeStaleOffers({"vm-1"}, now).empty());

  SECTION("and is dropped, once, some time after it was moved") {
    now += std::chrono::seconds(9);
    CHECK(checker.TakeStaleOffers({}, now).empty());
    now += std::chrono::seconds(11);
    CHECK(checker.TakeStaleOffers({}, now) == std::vector<vm_id>{"vm-1"});
    CHECK(checker.TakeStaleOffers({}, now).empty());
  }
}

// Guards against a VM that is moved though its vacancy was refuted, or isn't
// moved though it was confirmed, because nobody was told.
TEST_CASE("Each change of what is surely vacant is told once") {
  vacancy_checker checker{vacancy_settings()};
  checker.NoteHint(Offer("vm-1"));
  CHECK(checker.TakeChanges().empty());
  REQUIRE(checker.TakePartitionsToRead().size() == 1);
  checker.OnPartitionRead(kPartition, true, {"vm-1"});
  auto changes = checker.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].vm == "vm-1");
  CHECK(changes[0].is_confirmed);
  CHECK(checker.TakeChanges().empty());

  SECTION("also when the record is dropped") {
    checker.NoteVacant(kPartition + 1, "vm-1", false);
    CHECK(checker.TakeChanges().empty());
    checker.NoteVacant(kPartition, "vm-1", false);
    changes = checker.TakeChanges();
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].is_confirmed);
    CHECK(checker.Confirmed(vacancy_reason::kOffered).empty());
  }

  SECTION("and when the hint is") {
    checker.DropHint("vm-1", vacancy_reason::kOffered);
    changes = checker.TakeChanges();
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].is_confirmed);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
