#include "operators/views.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <stdexcept>

#include "observe/utc.h"
#include "plantainhead/core/names.h"
#include "plantainhead/settings/targets.h"

namespace plantainhead::operators {
namespace {

template <typename Ids>
json Texts(const Ids& ids) {
  json list = json::array();
  for (const auto& id : ids) {
    list.push_back(id.value());
  }
  return list;
}

template <typename E>
std::string Name(E value) {
  return std::string(core::NameOf(value));
}

json MemberView(const core::entry_member& member) {
  json accusers = json::array();
  for (const core::incarnation who : member.accusers) {
    accusers.push_back(ToHex(who));
  }
  return {{"name", member.name.value()},   {"incarnation", ToHex(member.who)},
          {"zone", member.zone.value()},   {"host", member.host},
          {"http_port", member.http_port}, {"peer_port", member.peer_port},
          {"accusers", accusers}};
}

json MembersView(const core::fleet_state& state) {
  json members = json::array();
  for (const auto& [who, member] : state.members) {
    members.push_back(MemberView(member));
  }
  return members;
}

json LeaseView(const core::fleet_state& state) {
  const core::planner_lease& lease = state.lease;
  const auto holder = state.members.find(lease.holder);
  return {{"holder", ToHex(lease.holder)},
          {"name",
           holder == state.members.end() ? "" : holder->second.name.value()},
          {"epoch", lease.epoch},
          {"renewed_at", lease.renewed_at}};
}

json LoadView(const std::vector<core::service_load>& loads) {
  json list = json::array();
  for (const core::service_load& load : loads) {
    list.push_back({{"service", load.service.value()},
                    {"slots", load.slots},
                    {"busy", load.busy},
                    {"queued", load.queued}});
  }
  return list;
}

}  // namespace

std::string ToHex(core::incarnation who) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(who));
  return text.data();
}

std::string ToUtc(core::time_point time) {
  if (time == core::time_point()) {
    return "";
  }
  const auto since_epoch = time.time_since_epoch();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
  return observe::UtcText(seconds.count()) + "Z";
}

core::time_point FromUtc(const std::string& text) {
  std::tm parts{};
  const char* const end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (end == nullptr || *end != '\0') {
    throw std::invalid_argument("'" + text +
                                "' is not a time in UTC such as "
                                "2026-03-01T12:00:00Z");
  }
  return core::time_point(std::chrono::seconds(timegm(&parts)));
}

json TargetsView(const core::fleet_state& state) {
  return {{"version", state.targets_version},
          {"offset", state.targets_offset},
          {"author", state.targets_author},
          {"targets", settings::FormatTargets(state.targets)}};
}

json StatusView(const entry_view& view) {
  json status = {{"name", view.name.value()},
                 {"zone", view.zone.value()},
                 {"incarnation", ToHex(view.who)},
                 {"ready", view.ready},
                 {"reason", view.reason},
                 {"stopping", view.stopping},
                 {"log_available", view.log_available},
                 {"log_end", view.log_end}};
  if (view.state != nullptr) {
    const core::fleet_state& state = *view.state;
    status["offset"] = state.offset;
    status["targets"] = {{"version", state.targets_version},
                         {"offset", state.targets_offset},
                         {"author", state.targets_author}};
    status["view"] = state.view;
    status["members"] = MembersView(state);
    status["lease"] = LeaseView(state);
  }
  status["load"] = LoadView(view.load);
  return status;
}

json WavesView(const core::fleet_state& state) {
  std::map<core::pool_id, std::size_t> sizes;
  for (const auto& [vm, fleet_vm] : state.vms) {
    ++sizes[fleet_vm.pool];
  }
  json waves = json::array();
  for (const auto& [id, wave] : state.waves) {
    std::size_t total = 0;
    for (const core::pool_id& pool : wave.pools) {
      total += sizes.contains(pool) ? sizes.at(pool) : 0;
    }
    waves.push_back({{"wave", id.value()},
                     {"state", Name(wave.state)},
                     {"version", wave.version},
                     {"pools", Texts(wave.pools)},
                     {"visited", wave.visited.size()},
                     {"vms", total},
                     {"finish_by", ToUtc(wave.finish_by)},
                     {"author", wave.author},
                     {"reason", wave.reason}});
  }
  return waves;
}

json VmsView(const core::fleet_state& state) {
  json vms = json::array();
  for (const auto& [id, vm] : state.vms) {
    vms.push_back({{"vm", id.value()},
                   {"pool", vm.pool.value()},
                   {"phase", Name(vm.phase)},
                   {"version", vm.version},
                   {"quarantined", vm.quarantined},
                   {"wave", vm.wave.value()},
                   {"operation", vm.operation.value()},
                   {"author", vm.author},
                   {"reason", vm.reason}});
  }
  return vms;
}

json PoolsView(const core::fleet_state& state) {
  json pools = json::array();
  for (const core::pool_spec& spec : state.targets.pools) {
    std::size_t vms = 0;
    std::size_t serving = 0;
    std::size_t quarantined = 0;
    for (const auto& [id, vm] : state.vms) {
      if (vm.pool != spec.name) {
        continue;
      }
      ++vms;
      serving += vm.phase == core::vm_phase::kServing ? 1 : 0;
      quarantined += vm.quarantined ? 1 : 0;
    }
    pools.push_back({{"pool", spec.name.value()},
                     {"team", spec.team.value()},
                     {"least_vms", spec.min_vms},
                     {"vms", vms},
                     {"serving", serving},
                     {"quarantined", quarantined}});
  }
  return pools;
}

json JobsView(const core::fleet_state& state) {
  json jobs = json::array();
  for (const auto& [id, job] : state.jobs) {
    jobs.push_back({{"job", id.value()},
                    {"state", Name(job.state)},
                    {"version", job.version},
                    {"team", job.spec.team.value()},
                    {"pool", job.spec.pool.value()},
                    {"vm", job.vm.value()},
                    {"processors", job.spec.processors},
                    {"memory_mb", job.spec.memory_mb},
                    {"accelerators", job.spec.accelerators},
                    {"urgent", job.spec.urgent},
                    {"finish_by", ToUtc(job.spec.finish_by)},
                    {"failures", job.failures},
                    {"author", job.author},
                    {"reason", job.reason}});
  }
  return jobs;
}

json StateView(const core::fleet_state& state) {
  return {{"offset", state.offset},    {"targets", TargetsView(state)},
          {"view", state.view},        {"members", MembersView(state)},
          {"lease", LeaseView(state)}, {"pools", PoolsView(state)},
          {"vms", VmsView(state)},     {"waves", WavesView(state)},
          {"jobs", JobsView(state)}};
}

}  // namespace plantainhead::operators
