// Cost of the fold and of its digest at the sizes of today and of the plan.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plantainhead/core/log/digest.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/platform/record_codec.h"

namespace plantainhead::core {
namespace {

constexpr incarnation kPlanner{0x1234567890abcdef};

struct fleet_size {
  int vms = 0;
  int pools = 0;
  int teams = 0;
  int classes = 0;
};

double MeasureNanoseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::nano>(end - start).count();
}

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

std::string Name(const char* kind, int number) {
  return std::string(kind) + "-" + std::to_string(number);
}

configuration MakeTargets(const fleet_size& size) {
  configuration targets;
  for (int i = 0; i < size.teams; ++i) {
    targets.teams.push_back({team_id(Name("team", i)), 10, 4});
  }
  for (int i = 0; i < size.pools; ++i) {
    const team_id team(Name("team", i % size.teams));
    targets.pools.push_back({pool_id(Name("pool", i)), team, 1});
  }
  for (int i = 0; i < size.classes; ++i) {
    work_class spec;
    spec.name = class_name(Name("class", i));
    spec.service = service_name("service-0");
    targets.classes.push_back(spec);
  }
  targets.services.push_back({service_name("service-0"), {pool_id("pool-0")}});
  return targets;
}

// Writes the records of ordinary days: mostly renewals of the planner lease,
// beside VMs' phases and 640 configurations among 30000 records.
class day_writer {
 public:
  explicit day_writer(const fleet_size& size)
      : size_(size), targets_(MakeTargets(size)) {
    join_entry join;
    join.who = kPlanner;
    join.name = entry_id("entry-1");
    Write(join);
    Write(take_planner_lease{kPlanner, 0, 0});
    Write(publish_configuration{targets_, 0});
    for (int i = 0; i < size.vms; ++i) {
      const pool_id pool(Name("pool", i % size.pools));
      Write(assign_vm{1, vm_id(Name("vm", i)), 0, pool, "listed"});
    }
  }

  // Counts each class's requests over all that the ledgers keep.
  void FillLedgers() {
    constexpr int kHours = 35 * 24;
    for (int hour = 0; hour < kHours; ++hour) {
      count_requests counted;
      counted.who = kPlanner;
      counted.at = time_point() + std::chrono::hours(hour);
      for (const work_class& spec : targets_.classes) {
        counted.classes[spec.name][request_fate::kServed] = 123456;
      }
      Write(counted);
    }
  }

  std::size_t PublicationBytes() const {
    record published;
    published.body = publish_configuration{targets_, 0};
    return platform::EncodeRecord(published).size();
  }

  record_body MakeBody(int step) {
    constexpr int kStepsPerPublication = 47;
    constexpr int kStepsPerPhase = 4;
    if (step % kStepsPerPublication == 0) {
      return publish_configuration{targets_, state_.targets_version};
    }
    if (step % kStepsPerPhase == 0) {
      const vm_id vm(Name("vm", step / kStepsPerPhase % size_.vms));
      const fleet_vm& known = state_.vms.at(vm);
      const vm_phase next = known.phase == vm_phase::kServing
                                ? vm_phase::kDraining
                                : vm_phase::kServing;
      return set_vm_phase{1,
                          vm,
                          known.version,
                          next,
                          operation_id("operation-" + std::to_string(step)),
                          wave_id(),
                          "maintenance wave may-2"};
    }
    return renew_planner_lease{kPlanner, 1};
  }

  void Write(record_body body) { Fold(MakeEntry(std::move(body))); }

  log_entry MakeEntry(record_body body) {
    const std::string id = "1234567890abcdef-" + std::to_string(++written_);
    return {state_.offset + 1, {record_id(id), "entry-1", std::move(body)}};
  }

  void Fold(const log_entry& entry) {
    if (Apply(state_, entry).outcome != fold_outcome::kApplied) {
      std::fprintf(stderr, "a record of the benchmark wasn't applied\n");
      std::exit(EXIT_FAILURE);
    }
  }

  const fleet_state& state() const { return state_; }

 private:
  fleet_size size_;
  configuration targets_;
  fleet_state state_;
  int written_ = 0;
};

void Run(const fleet_size& size, int records, bool ledgers) {
  const std::size_t before = AllocatedBytes();
  day_writer day(size);
  if (ledgers) {
    day.FillLedgers();
  }
  double spent = 0;
  for (int step = 1; step <= records; ++step) {
    const log_entry entry = day.MakeEntry(day.MakeBody(step));
    spent += MeasureNanoseconds([&] { day.Fold(entry); });
  }
  const std::size_t bytes = AllocatedBytes() - before;
  constexpr int kDigests = 50;
  std::uint64_t digests = 0;
  const double digest = MeasureNanoseconds([&] {
    for (int i = 0; i < kDigests; ++i) {
      digests += Digest(day.state()) >> i;
    }
  });
  const double copy = MeasureNanoseconds([&] {
    fleet_state other = day.state();
    other.offset += digests;
    digests = other.offset;
  });
  std::string text;
  const double encode = MeasureNanoseconds([&] {
    record snapshot;
    snapshot.body = snapshot_taken{
        std::make_shared<const fleet_state>(day.state()), digests};
    text = platform::EncodeRecord(snapshot);
  });
  const double decode = MeasureNanoseconds(
      [&] { digests += platform::DecodeRecord(text).author.size(); });
  std::printf(
      "%6d %6d %8d %8s %10.0f %10zu %10.1f %10.1f %10zu %10.1f %10.1f %10zu\n",
      size.vms, size.pools, records, ledgers ? "full" : "empty",
      spent / records, bytes, digest / kDigests / 1000, copy / 1000,
      text.size(), encode / 1000, decode / 1000, day.PublicationBytes());
  // Keeps the compiler from leaving the digests out.
  if (digests == 0) {
    std::printf("the digests are 0\n");
  }
}

}  // namespace
}  // namespace plantainhead::core

int main() {
  std::printf("%6s %6s %8s %8s %10s %10s %10s %10s %10s %10s %10s %10s\n",
              "VMs", "pools", "records", "ledgers", "ns/record", "bytes",
              "digest us", "copy us", "snapshot B", "encode us", "decode us",
              "publish B");
  for (const bool ledgers : {false, true}) {
    for (const int records : {1000, 30000}) {
      plantainhead::core::Run({50, 10, 5, 20}, records, ledgers);
      plantainhead::core::Run({200, 60, 30, 60}, records, ledgers);
      plantainhead::core::Run({520, 250, 93, 250}, records, ledgers);
    }
  }
  return EXIT_SUCCESS;
}
