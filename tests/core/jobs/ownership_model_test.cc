#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace plantainhead::core::jobs {
namespace {

// A model of the protocol by which the owners of one pool replace each other,
// reduced to two processes, two VMs and one task. All orders of events are
// searched. The rules of the protocol:
// - A claim fences the appends of the earlier owner (an epoch in the store).
// - A hold fences the orders of the earlier owner (the epoch at the VM) and
//   returns a listing of the running tasks.
// - A VM is recorded before its first task.
// - A new owner sends no order until each recorded VM has sent a listing, or
//   its lease has certainly expired and the earlier owner has stopped.
// - An end is acknowledged to its VM only after it is stored.
// - A task of a VM whose lease has expired starts elsewhere only after the
//   store has accepted the record of that from this owner.
// Orders arrive at any later time, VMs and owners may be disconnected at any
// time, leases expire, owners crash, and the pool may be assigned to another
// owner while its owner is healthy.

constexpr int kVms = 2;
constexpr int kOwners = 2;
constexpr int kMostEpochs = 3;
constexpr int kMostStarts = 3;
constexpr int kMostOrders = 2;
constexpr std::int8_t kNowhere = -1;

enum class owner_phase : std::int8_t { kIdle, kTakingOver, kActive };

struct owner_model {
  owner_phase phase = owner_phase::kIdle;
  std::int8_t epoch = 0;
  /// The earlier owner may still be active, since its membership may not have
  /// expired.
  std::int8_t is_sure = 0;
  std::array<std::int8_t, kVms> settled{};
  /// VMs that were recorded when it claimed the pool, or that it has recorded
  /// since.
  std::array<std::int8_t, kVms> known{};
  std::int8_t placed = kNowhere;
  std::int8_t has_unstored_end = 0;
  std::int8_t knows_done = 0;
};

struct vm_model {
  std::int8_t fence = 0;
  std::int8_t has_lease = 0;
  std::int8_t is_running = 0;
  /// An end that has not been acknowledged.
  std::int8_t has_end = 0;
  /// The lease expired after the end. The task may have been started elsewhere
  /// since, and the end counts only if it has not.
  std::int8_t is_end_stale = 0;
};

/// An order to start that is in transit.
struct order_model {
  std::int8_t vm = kNowhere;
  std::int8_t epoch = 0;
};

struct world_model {
  std::int8_t epoch = 0;
  std::int8_t done = 0;
  std::int8_t acknowledged = 0;
  std::int8_t starts = 0;
  std::array<std::int8_t, kVms> recorded{};
  std::array<owner_model, kOwners> owners{};
  std::array<vm_model, kVms> vms{};
  std::array<order_model, kMostOrders> orders{};
};

std::int8_t OtherVm(std::int8_t vm) {
  return vm == kNowhere ? kNowhere : static_cast<std::int8_t>(1 - vm);
}

world_model SwapVms(world_model world) {
  std::swap(world.vms[0], world.vms[1]);
  std::swap(world.recorded[0], world.recorded[1]);
  for (owner_model& owner : world.owners) {
    std::swap(owner.settled[0], owner.settled[1]);
    std::swap(owner.known[0], owner.known[1]);
    owner.placed = OtherVm(owner.placed);
  }
  for (order_model& order : world.orders) {
    order.vm = OtherVm(order.vm);
  }
  return world;
}

std::string BytesOf(world_model world) {
  std::sort(world.orders.begin(), world.orders.end(),
            [](const order_model& a, const order_model& b) {
              return std::pair(a.vm, a.epoch) < std::pair(b.vm, b.epoch);
            });
  // All members are single bytes, so that there is no padding.
  return {reinterpret_cast<const char*>(&world), sizeof(world)};
}

// States that differ only by the names of VMs and owners are equivalent.
std::string KeyOf(const world_model& world) {
  world_model other = world;
  std::swap(other.owners[0], other.owners[1]);
  return std::min({BytesOf(world), BytesOf(other), BytesOf(SwapVms(world)),
                   BytesOf(SwapVms(other))});
}

/// A safeguard that is disabled.
enum class flaw {
  kNone,
  kNoFenceAtVms,
  kNoRecordOfVms,
  kNoWaitForSilentVms,
  kNoWaitForOwner,
  kAcknowledgesEarly,
  kNoRecordOfLapse,
};

class search {
 public:
  explicit search(flaw left_out) : flaw_(left_out) {}

  /// Returns the first violation, or an empty string if there can be none.
  std::string Run() {
    Visit(world_model());
    while (!waiting_.empty() && wrong_.empty()) {
      const world_model world = waiting_.front();
      waiting_.pop_front();
      Expand(world);
    }
    return wrong_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  void Visit(const world_model& world) {
    if (seen_.insert(KeyOf(world)).second) {
      waiting_.push_back(world);
    }
  }

  void Expand(const world_model& world) {
    for (int i = 0; i < kOwners; ++i) {
      Claim(world, i);
      Begin(world, i);
      StoreEnd(world, i);
      StopOrDie(world, i);
      for (int v = 0; v < kVms; ++v) {
        Hold(world, i, v);
        SettleByLapse(world, i, v);
        Record(world, i, v);
        Start(world, i, v);
        Acknowledge(world, i, v);
        NoteLapse(world, i, v);
      }
    }
    for (int v = 0; v < kVms; ++v) {
      LapseOrFinish(world, v);
    }
    for (int m = 0; m < kMostOrders; ++m) {
      Deliver(world, m);
    }
  }

  void Claim(world_model world, int i) {
    if (world.owners[i].phase != owner_phase::kIdle ||
        world.epoch >= kMostEpochs) {
      return;
    }
    owner_model owner;
    owner.phase = owner_phase::kTakingOver;
    owner.epoch = ++world.epoch;
    owner.is_sure = 1;
    owner.known = world.recorded;
    owner.knows_done = world.done;
    world.owners[i] = owner;
    Visit(world);
  }

  void Hold(world_model world, int i, int v) {
    owner_model& owner = world.owners[i];
    vm_model& vm = world.vms[v];
    if (owner.phase == owner_phase::kIdle || owner.is_sure == 0) {
      return;
    }
    if (owner.epoch < vm.fence) {
      owner = owner_model();
      Visit(world);
      return;
    }
    if (flaw_ != flaw::kNoFenceAtVms) {
      vm.fence = owner.epoch;
    }
    vm.has_lease = 1;
    owner.settled[v] = 1;
    if (vm.is_running != 0) {
      owner.placed = static_cast<std::int8_t>(v);
    }
    const bool counts = vm.is_end_stale == 0 || owner.placed == kNowhere;
    if (vm.has_end != 0 && counts && owner.knows_done == 0) {
      owner.has_unstored_end = 1;
    }
    Visit(world);
  }

  bool MayEarlierAct(const world_model& world, int i) const {
    for (const owner_model& other : world.owners) {
      if (other.epoch != 0 && other.epoch < world.owners[i].epoch &&
          other.is_sure != 0) {
        return true;
      }
    }
    return false;
  }

  // The VM rejects orders whose lease has expired.
  static void DropOrders(world_model* world, int v) {
    for (order_model& order : world->orders) {
      if (order.vm == v) {
        order = order_model();
      }
    }
  }

  void SettleByLapse(world_model world, int i, int v) {
    owner_model& owner = world.owners[i];
    if (owner.phase != owner_phase::kTakingOver || owner.settled[v] != 0) {
      return;
    }
    const bool waits_for_owner = flaw_ != flaw::kNoWaitForOwner;
    const bool waits_for_vm = flaw_ != flaw::kNoWaitForSilentVms;
    if ((waits_for_owner && MayEarlierAct(world, i)) ||
        (waits_for_vm && world.vms[v].has_lease != 0)) {
      return;
    }
    if (owner.epoch != world.epoch && flaw_ != flaw::kNoRecordOfLapse) {
      owner = owner_model();
      Visit(world);
      return;
    }
    if (waits_for_owner && waits_for_vm) {
      DropOrders(&world, v);
    }
    owner.settled[v] = 1;
    Visit(world);
  }

  void Begin(world_model world, int i) {
    owner_model& owner = world.owners[i];
    if (owner.phase != owner_phase::kTakingOver) {
      return;
    }
    for (int v = 0; v < kVms; ++v) {
      if (owner.known[v] != 0 && owner.settled[v] == 0) {
        return;
      }
    }
    owner.phase = owner_phase::kActive;
    Visit(world);
  }

  void Record(world_model world, int i, int v) {
    owner_model& owner = world.owners[i];
    if (owner.phase != owner_phase::kActive || owner.known[v] != 0) {
      return;
    }
    if (owner.epoch == world.epoch) {
      world.recorded[v] = 1;
      owner.known[v] = 1;
    } else {
      owner = owner_model();
    }
    Visit(world);
  }

  void Start(world_model world, int i, int v) {
    owner_model& owner = world.owners[i];
    const bool is_recorded =
        owner.known[v] != 0 || flaw_ == flaw::kNoRecordOfVms;
    const bool may_start =
        owner.phase == owner_phase::kActive && owner.is_sure != 0 &&
        owner.placed == kNowhere && owner.knows_done == 0 &&
        owner.has_unstored_end == 0 && owner.settled[v] != 0 && is_recorded &&
        world.starts < kMostStarts;
    if (!may_start) {
      return;
    }
    for (order_model& order : world.orders) {
      if (order.vm == kNowhere) {
        order = {static_cast<std::int8_t>(v), owner.epoch};
        owner.placed = static_cast<std::int8_t>(v);
        ++world.starts;
        Visit(world);
        return;
      }
    }
  }

  void Deliver(world_model world, int m) {
    const order_model order = world.orders[m];
    if (order.vm == kNowhere) {
      return;
    }
    world.orders[m] = order_model();
    vm_model& vm = world.vms[order.vm];
    if (order.epoch >= vm.fence && vm.is_running == 0) {
      if (flaw_ != flaw::kNoFenceAtVms) {
        vm.fence = order.epoch;
      }
      if (world.vms[1 - order.vm].is_running != 0) {
        wrong_ = "two runs at the same time";
      }
      if (world.acknowledged != 0) {
        wrong_ = "a start after the end was acknowledged";
      }
      vm.has_lease = 1;
      vm.is_running = 1;
    }
    Visit(world);
  }

  void LapseOrFinish(const world_model& world, int v) {
    if (world.vms[v].has_lease != 0) {
      world_model lapsed = world;
      lapsed.vms[v].has_lease = 0;
      lapsed.vms[v].is_running = 0;
      lapsed.vms[v].is_end_stale = lapsed.vms[v].has_end;
      Visit(lapsed);
    }
    if (world.vms[v].is_running != 0) {
      world_model finished = world;
      finished.vms[v].is_running = 0;
      finished.vms[v].has_end = 1;
      Visit(finished);
    }
  }

  // The owner itself measures how long the lease that it granted lasts.
  void NoteLapse(world_model world, int i, int v) {
    owner_model& owner = world.owners[i];
    const bool is_lapsed = owner.phase == owner_phase::kActive &&
                           owner.placed == v && world.vms[v].has_lease == 0 &&
                           !MayEarlierAct(world, i);
    if (!is_lapsed) {
      return;
    }
    if (owner.epoch != world.epoch && flaw_ != flaw::kNoRecordOfLapse) {
      owner = owner_model();
      Visit(world);
      return;
    }
    DropOrders(&world, v);
    owner.placed = kNowhere;
    // The VM is used again only after it has listed all its tasks.
    owner.settled[v] = 0;
    Visit(world);
  }

  void StoreEnd(world_model world, int i) {
    owner_model& owner = world.owners[i];
    if (owner.has_unstored_end == 0) {
      return;
    }
    if (owner.epoch == world.epoch) {
      world.done = 1;
      owner.knows_done = 1;
      owner.has_unstored_end = 0;
    } else {
      owner = owner_model();
    }
    Visit(world);
  }

  void Acknowledge(world_model world, int i, int v) {
    const owner_model& owner = world.owners[i];
    vm_model& vm = world.vms[v];
    const bool is_stored =
        owner.knows_done != 0 ||
        (flaw_ == flaw::kAcknowledgesEarly && owner.has_unstored_end != 0);
    if (owner.phase == owner_phase::kIdle || owner.is_sure == 0 || !is_stored ||
        owner.settled[v] == 0 || vm.has_end == 0 || owner.epoch < vm.fence) {
      return;
    }
    // The acknowledgement is sent with a hold.
    if (flaw_ != flaw::kNoFenceAtVms) {
      vm.fence = owner.epoch;
    }
    if (vm.is_end_stale == 0) {
      world.acknowledged = 1;
    }
    vm.has_end = 0;
    vm.is_end_stale = 0;
    Visit(world);
  }

  void StopOrDie(const world_model& world, int i) {
    if (world.owners[i].phase == owner_phase::kIdle) {
      return;
    }
    world_model unsure = world;
    unsure.owners[i].is_sure = 0;
    Visit(unsure);
    world_model dead = world;
    dead.owners[i] = owner_model();
    Visit(dead);
  }

  flaw flaw_;
  std::unordered_set<std::string> seen_;
  std::deque<world_model> waiting_;
  std::string wrong_;
};

TEST_CASE("No order of events starts a task twice under two owners") {
  search whole(flaw::kNone);
  CHECK(whole.Run().empty());
  INFO("states: " << whole.states());
  CHECK(whole.states() > 10000);
}

TEST_CASE("Each safeguard of a change of owner is needed") {
  CHECK_FALSE(search(flaw::kNoFenceAtVms).Run().empty());
  CHECK_FALSE(search(flaw::kNoRecordOfVms).Run().empty());
  CHECK_FALSE(search(flaw::kNoWaitForSilentVms).Run().empty());
  CHECK_FALSE(search(flaw::kNoWaitForOwner).Run().empty());
  CHECK_FALSE(search(flaw::kAcknowledgesEarly).Run().empty());
  CHECK_FALSE(search(flaw::kNoRecordOfLapse).Run().empty());
}

}  // namespace
}  // namespace plantainhead::core::jobs
