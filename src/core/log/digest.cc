#include "plantainhead/core/log/digest.h"

#include <xxhash.h>

#include <bit>
#include <string>
#include <type_traits>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {
namespace {

// Serializes values in a canonical, machine-independent format: numbers as 8
// bytes in little-endian order, strings and lists prefixed with their length.
class canonical_writer {
 public:
  explicit canonical_writer(std::size_t expected_bytes) {
    bytes_.reserve(expected_bytes);
  }

  std::uint64_t Hash() const {
    return XXH3_64bits(bytes_.data(), bytes_.size());
  }

  void Put(std::uint64_t value) {
    constexpr int kBytes = 8;
    char buffer[kBytes];
    for (char& byte : buffer) {
      byte = static_cast<char>(value & 0xFF);
      value >>= 8;
    }
    bytes_.append(buffer, kBytes);
  }
  void Put(double value) { Put(std::bit_cast<std::uint64_t>(value)); }
  void Put(const std::string& text) {
    Put(static_cast<std::uint64_t>(text.size()));
    bytes_ += text;
  }
  template <typename Tag>
  void Put(const basic_id<Tag>& id) {
    Put(id.value());
  }
  template <typename E>
  requires std::is_enum_v<E>
  void Put(E value) { Put(static_cast<std::uint64_t>(value)); }
  void Put(bool value) { Put(static_cast<std::uint64_t>(value)); }
  void Put(std::uint32_t value) { Put(static_cast<std::uint64_t>(value)); }
  void Put(duration value) { Put(static_cast<std::uint64_t>(value.count())); }
  void Put(time_point value) { Put(value.time_since_epoch()); }

  void Put(const service_spec& spec) {
    Put(spec.name);
    PutAll(spec.pools);
  }
  void Put(const work_class& spec) {
    Put(spec.name);
    Put(spec.service);
    Put(spec.served);
    Put(spec.within);
    Put(spec.unavailability);
    Put(spec.window);
    Put(spec.can_wait);
  }
  void Put(const pool_spec& spec) {
    Put(spec.name);
    Put(spec.team);
    Put(spec.min_vms);
  }
  void Put(const team_spec& spec) {
    Put(spec.name);
    Put(spec.vms);
    Put(spec.accelerators);
  }
  void Put(const configuration& targets) {
    PutAll(targets.services);
    PutAll(targets.classes);
    PutAll(targets.pools);
    PutAll(targets.teams);
    Put(targets.priorities.buffer_cost);
    Put(targets.priorities.roll_out_time);
    Put(targets.priorities.moves);
  }
  void Put(const entry_member& member) {
    Put(member.who);
    Put(member.name);
    Put(member.zone);
    Put(member.host);
    Put(std::uint32_t{member.peer_port});
    Put(std::uint32_t{member.http_port});
    PutAll(member.accusers);
  }
  void Put(const writer_position& position) {
    Put(position.number);
    Put(position.offset);
  }
  void Put(const request_counts& counts) { PutAll(counts.by_fate); }
  void Put(const class_ledger& ledger) {
    for (const auto& periods : ledger.periods) {
      PutMap(periods);
    }
  }
  void Put(const planner_lease& lease) {
    Put(lease.holder);
    Put(lease.epoch);
    Put(lease.renewed_at);
  }
  void Put(const fleet_vm& vm) {
    Put(vm.pool);
    Put(vm.phase);
    Put(vm.version);
    Put(vm.operation);
    Put(vm.wave);
    Put(vm.quarantined);
    Put(vm.reason);
    Put(vm.author);
  }
  void Put(const fleet_wave& wave) {
    PutAll(wave.pools);
    Put(wave.finish_by);
    Put(wave.state);
    Put(wave.version);
    PutAll(wave.visited);
    Put(wave.author);
    Put(wave.reason);
  }
  void Put(const job_requirements& spec) {
    Put(spec.name);
    Put(spec.team);
    Put(spec.pool);
    Put(spec.processors);
    Put(spec.memory_mb);
    Put(spec.accelerators);
    Put(spec.declared_run_time);
    Put(spec.finish_by);
    Put(spec.urgent);
  }
  void Put(const fleet_job& job) {
    Put(job.spec);
    Put(job.state);
    Put(job.version);
    Put(job.vm);
    Put(job.operation);
    Put(job.failures);
    Put(job.reason);
    Put(job.author);
  }

  template <typename Range>
  void PutAll(const Range& range) {
    Put(static_cast<std::uint64_t>(range.size()));
    for (const auto& item : range) {
      Put(item);
    }
  }
  template <typename Map>
  void PutMap(const Map& map) {
    Put(static_cast<std::uint64_t>(map.size()));
    for (const auto& [key, value] : map) {
      Put(key);
      Put(value);
    }
  }

 private:
  std::string bytes_;
};

// Estimates the serialized size, which avoids most reallocations of the buffer.
std::size_t EstimateBytes(const fleet_state& state) {
  constexpr std::size_t kBytesPerObject = 160;
  constexpr std::size_t kBytesPerRecord = 48;
  const std::size_t objects = state.vms.size() + state.jobs.size() +
                              state.waves.size() + state.members.size() +
                              state.targets.pools.size() +
                              state.targets.classes.size();
  return (objects + 1) * kBytesPerObject +
         state.recent_records.size() * kBytesPerRecord;
}

}  // namespace

std::uint64_t Digest(const fleet_state& state) {
  canonical_writer writer(EstimateBytes(state));
  writer.Put(state.offset);
  writer.Put(state.targets);
  writer.Put(state.targets_version);
  writer.Put(state.targets_author);
  writer.Put(state.targets_offset);
  writer.PutMap(state.members);
  writer.Put(state.view);
  writer.Put(state.lease);
  writer.PutMap(state.vms);
  writer.PutMap(state.waves);
  writer.PutMap(state.jobs);
  writer.PutMap(state.ledgers);
  writer.PutMap(state.departed);
  writer.PutMap(state.ended_waves);
  writer.PutMap(state.ended_jobs);
  writer.PutMap(state.writers);
  // `recent_ids` contains the values of this map.
  writer.PutMap(state.recent_records);
  return writer.Hash();
}

}  // namespace plantainhead::core
