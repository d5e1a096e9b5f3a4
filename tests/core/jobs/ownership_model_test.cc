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
constexpr int kMaxEpochs = 3;
constexpr int kMaxStarts = 3;
constexpr int kMaxOrders = 2;
constexpr std::int8_t kNowhere = -1;

enum class owner_phase : std::int8_t { kIdle, kTakingOver, kActive };

struct owner_model {
  owner_phase phase = owner_phase::kIdle;
  std::int8_t epoch = 0;
  /// Whether the owner is certain that its membership has not expired. It sends
  /// nothing otherwise.
  std::int8_t is_certain = 0;
  std::array<std::int8_t, kVms> reconciled{};
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

struct system_state {
  std::int8_t epoch = 0;
  std::int8_t done = 0;
  std::int8_t acknowledged = 0;
  std::int8_t starts = 0;
  std::array<std::int8_t, kVms> recorded{};
  std::array<owner_model, kOwners> owners{};
  std::array<vm_model, kVms> vms{};
  std::array<order_model, kMaxOrders> orders{};
};

std::int8_t OtherVm(std::int8_t vm) {
  return vm == kNowhere ? kNowhere : static_cast<std::int8_t>(1 - vm);
}

system_state SwapVms(system_state state) {
  std::swap(state.vms[0], state.vms[1]);
  std::swap(state.recorded[0], state.recorded[1]);
  for (owner_model& owner : state.owners) {
    std::swap(owner.reconciled[0], owner.reconciled[1]);
    std::swap(owner.known[0], owner.known[1]);
    owner.placed = OtherVm(owner.placed);
  }
  for (order_model& order : state.orders) {
    order.vm = OtherVm(order.vm);
  }
  return state;
}

std::string BytesOf(system_state state) {
  std::sort(state.orders.begin(), state.orders.end(),
            [](const order_model& a, const order_model& b) {
              return std::pair(a.vm, a.epoch) < std::pair(b.vm, b.epoch);
            });
  // All members are single bytes, so that there is no padding.
  return {reinterpret_cast<const char*>(&state), sizeof(state)};
}

// States that differ only by the names of VMs and owners are equivalent.
std::string KeyOf(const system_state& state) {
  system_state other = state;
  std::swap(other.owners[0], other.owners[1]);
  return std::min({BytesOf(state), BytesOf(other), BytesOf(SwapVms(state)),
                   BytesOf(SwapVms(other))});
}

/// A safeguard that is disabled.
enum class disabled_safeguard {
  kNone,
  kNoFenceAtVms,
  kNoRecordOfVms,
  kNoWaitForSilentVms,
  kNoWaitForOwner,
  kAcknowledgesEarly,
  kNoRecordOfExpiry,
};

class state_search {
 public:
  explicit state_search(disabled_safeguard disabled) : disabled_(disabled) {}

  /// Returns the first violation, or an empty string if there can be none.
  std::string Run() {
    Visit(system_state());
    while (!waiting_.empty() && violation_.empty()) {
      const system_state state = waiting_.front();
      waiting_.pop_front();
      Expand(state);
    }
    return violation_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  void Visit(const system_state& state) {
    if (seen_.insert(KeyOf(state)).second) {
      waiting_.push_back(state);
    }
  }

  void Expand(const system_state& state) {
    for (int i = 0; i < kOwners; ++i) {
      Claim(state, i);
      Begin(state, i);
      StoreEnd(state, i);
      StopOrCrash(state, i);
      for (int v = 0; v < kVms; ++v) {
        Hold(state, i, v);
        ReconcileByExpiry(state, i, v);
        Record(state, i, v);
        Start(state, i, v);
        Acknowledge(state, i, v);
        ExpireLease(state, i, v);
      }
    }
    for (int v = 0; v < kVms; ++v) {
      ExpireOrFinish(state, v);
    }
    for (int m = 0; m < kMaxOrders; ++m) {
      Deliver(state, m);
    }
  }

  void Claim(system_state state, int i) {
    if (state.owners[i].phase != owner_phase::kIdle ||
        state.epoch >= kMaxEpochs) {
      return;
    }
    owner_model owner;
    owner.phase = owner_phase::kTakingOver;
    owner.epoch = ++state.epoch;
    owner.is_certain = 1;
    owner.known = state.recorded;
    owner.knows_done = state.done;
    state.owners[i] = owner;
    Visit(state);
  }

  void Hold(system_state state, int i, int v) {
    owner_model& owner = state.owners[i];
    vm_model& vm = state.vms[v];
    if (owner.phase == owner_phase::kIdle || owner.is_certain == 0) {
      return;
    }
    if (owner.epoch < vm.fence) {
      owner = owner_model();
      Visit(state);
      return;
    }
    if (disabled_ != disabled_safeguard::kNoFenceAtVms) {
      vm.fence = owner.epoch;
    }
    vm.has_lease = 1;
    owner.reconciled[v] = 1;
    if (vm.is_running != 0) {
      owner.placed = static_cast<std::int8_t>(v);
    }
    const bool counts = vm.is_end_stale == 0 || owner.placed == kNowhere;
    if (vm.has_end != 0 && counts && owner.knows_done == 0) {
      owner.has_unstored_end = 1;
    }
    Visit(state);
  }

  bool MayEarlierAct(const system_state& state, int i) const {
    for (const owner_model& other : state.owners) {
      if (other.epoch != 0 && other.epoch < state.owners[i].epoch &&
          other.is_certain != 0) {
        return true;
      }
    }
    return false;
  }

  // The VM rejects orders whose lease has expired.
  static void DropOrders(system_state* state, int v) {
    for (order_model& order : state->orders) {
      if (order.vm == v) {
        order = order_model();
      }
    }
  }

  void ReconcileByExpiry(system_state state, int i, int v) {
    owner_model& owner = state.owners[i];
    if (owner.phase != owner_phase::kTakingOver || owner.reconciled[v] != 0) {
      return;
    }
    const bool waits_for_owner =
        disabled_ != disabled_safeguard::kNoWaitForOwner;
    const bool waits_for_vm =
        disabled_ != disabled_safeguard::kNoWaitForSilentVms;
    if ((waits_for_owner && MayEarlierAct(state, i)) ||
        (waits_for_vm && state.vms[v].has_lease != 0)) {
      return;
    }
    if (owner.epoch != state.epoch &&
        disabled_ != disabled_safeguard::kNoRecordOfExpiry) {
      owner = owner_model();
      Visit(state);
      return;
    }
    if (waits_for_owner && waits_for_vm) {
      DropOrders(&state, v);
    }
    owner.reconciled[v] = 1;
    Visit(state);
  }

  void Begin(system_state state, int i) {
    owner_model& owner = state.owners[i];
    if (owner.phase != owner_phase::kTakingOver) {
      return;
    }
    for (int v = 0; v < kVms; ++v) {
      if (owner.known[v] != 0 && owner.reconciled[v] == 0) {
        return;
      }
    }
    owner.phase = owner_phase::kActive;
    Visit(state);
  }

  void Record(system_state state, int i, int v) {
    owner_model& owner = state.owners[i];
    if (owner.phase != owner_phase::kActive || owner.known[v] != 0) {
      return;
    }
    if (owner.epoch == state.epoch) {
      state.recorded[v] = 1;
      owner.known[v] = 1;
    } else {
      owner = owner_model();
    }
    Visit(state);
  }

  void Start(system_state state, int i, int v) {
    owner_model& owner = state.owners[i];
    const bool is_recorded =
        owner.known[v] != 0 || disabled_ == disabled_safeguard::kNoRecordOfVms;
    const bool may_start =
        owner.phase == owner_phase::kActive && owner.is_certain != 0 &&
        owner.placed == kNowhere && owner.knows_done == 0 &&
        owner.has_unstored_end == 0 && owner.reconciled[v] != 0 &&
        is_recorded && state.starts < kMaxStarts;
    if (!may_start) {
      return;
    }
    for (order_model& order : state.orders) {
      if (order.vm == kNowhere) {
        order = {static_cast<std::int8_t>(v), owner.epoch};
        owner.placed = static_cast<std::int8_t>(v);
        ++state.starts;
        Visit(state);
        return;
      }
    }
  }

  void Deliver(system_state state, int m) {
    const order_model order = state.orders[m];
    if (order.vm == kNowhere) {
      return;
    }
    state.orders[m] = order_model();
    vm_model& vm = state.vms[order.vm];
    if (order.epoch >= vm.fence && vm.is_running == 0) {
      if (disabled_ != disabled_safeguard::kNoFenceAtVms) {
        vm.fence = order.epoch;
      }
      if (state.vms[1 - order.vm].is_running != 0) {
        violation_ = "two runs at the same time";
      }
      if (state.acknowledged != 0) {
        violation_ = "a start after the end was acknowledged";
      }
      vm.has_lease = 1;
      vm.is_running = 1;
    }
    Visit(state);
  }

  void ExpireOrFinish(const system_state& state, int v) {
    if (state.vms[v].has_lease != 0) {
      system_state expired = state;
      expired.vms[v].has_lease = 0;
      expired.vms[v].is_running = 0;
      expired.vms[v].is_end_stale = expired.vms[v].has_end;
      Visit(expired);
    }
    if (state.vms[v].is_running != 0) {
      system_state finished = state;
      finished.vms[v].is_running = 0;
      finished.vms[v].has_end = 1;
      Visit(finished);
    }
  }

  // The owner itself measures how long the lease that it granted lasts.
  void ExpireLease(system_state state, int i, int v) {
    owner_model& owner = state.owners[i];
    const bool is_expired = owner.phase == owner_phase::kActive &&
                            owner.placed == v && state.vms[v].has_lease == 0 &&
                            !MayEarlierAct(state, i);
    if (!is_expired) {
      return;
    }
    if (owner.epoch != state.epoch &&
        disabled_ != disabled_safeguard::kNoRecordOfExpiry) {
      owner = owner_model();
      Visit(state);
      return;
    }
    DropOrders(&state, v);
    owner.placed = kNowhere;
    // The VM is used again only after it has listed all its tasks.
    owner.reconciled[v] = 0;
    Visit(state);
  }

  void StoreEnd(system_state state, int i) {
    owner_model& owner = state.owners[i];
    if (owner.has_unstored_end == 0) {
      return;
    }
    if (owner.epoch == state.epoch) {
      state.done = 1;
      owner.knows_done = 1;
      owner.has_unstored_end = 0;
    } else {
      owner = owner_model();
    }
    Visit(state);
  }

  void Acknowledge(system_state state, int i, int v) {
    const owner_model& owner = state.owners[i];
    vm_model& vm = state.vms[v];
    const bool is_stored =
        owner.knows_done != 0 ||
        (disabled_ == disabled_safeguard::kAcknowledgesEarly &&
         owner.has_unstored_end != 0);
    if (owner.phase == owner_phase::kIdle || owner.is_certain == 0 ||
        !is_stored || owner.reconciled[v] == 0 || vm.has_end == 0 ||
        owner.epoch < vm.fence) {
      return;
    }
    // The acknowledgement is sent with a hold.
    if (disabled_ != disabled_safeguard::kNoFenceAtVms) {
      vm.fence = owner.epoch;
    }
    if (vm.is_end_stale == 0) {
      state.acknowledged = 1;
    }
    vm.has_end = 0;
    vm.is_end_stale = 0;
    Visit(state);
  }

  void StopOrCrash(const system_state& state, int i) {
    if (state.owners[i].phase == owner_phase::kIdle) {
      return;
    }
    system_state uncertain = state;
    uncertain.owners[i].is_certain = 0;
    Visit(uncertain);
    system_state crashed = state;
    crashed.owners[i] = owner_model();
    Visit(crashed);
  }

  disabled_safeguard disabled_;
  std::unordered_set<std::string> seen_;
  std::deque<system_state> waiting_;
  std::string violation_;
};

TEST_CASE("No order of events runs a task twice under two owners") {
  state_search complete(disabled_safeguard::kNone);
  CHECK(complete.Run().empty());
  INFO("states: " << complete.states());
  CHECK(complete.states() > 10000);
}

TEST_CASE("Each safeguard of a change of owner is needed") {
  CHECK_FALSE(state_search(disabled_safeguard::kNoFenceAtVms).Run().empty());
  CHECK_FALSE(state_search(disabled_safeguard::kNoRecordOfVms).Run().empty());
  CHECK_FALSE(
      state_search(disabled_safeguard::kNoWaitForSilentVms).Run().empty());
  CHECK_FALSE(state_search(disabled_safeguard::kNoWaitForOwner).Run().empty());
  CHECK_FALSE(
      state_search(disabled_safeguard::kAcknowledgesEarly).Run().empty());
  CHECK_FALSE(
      state_search(disabled_safeguard::kNoRecordOfExpiry).Run().empty());
}

}  // namespace
}  // namespace plantainhead::core::jobs
