#include "operators/commands.h"

#include <algorithm>
#include <cstdlib>
#include <future>
#include <utility>

#include "operators/answers.h"
#include "operators/json_reader.h"
#include "operators/views.h"
#include "plantainhead/settings/targets.h"
#include "settings/units.h"

namespace plantainhead::operators {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

constexpr char kAuthorHeader[] = "plantain-author";
constexpr char kExpectedHeader[] = "plantain-expected-version";

std::string AuthorOf(const caller::http_request& request) {
  const auto header = request.headers.find(kAuthorHeader);
  return header == request.headers.end() ? "operator" : header->second;
}

// Returns the version that the operator expects, or `in_force` when the request
// names none.
core::generation ExpectedOf(const caller::http_request& request,
                            core::generation in_force) {
  const auto header = request.headers.find(kExpectedHeader);
  if (header == request.headers.end()) {
    return in_force;
  }
  try {
    return settings::ParseWholeNumber(header->second);
  } catch (const settings::unit_error& error) {
    throw core::findings_error(
        {{{"Plantain-Expected-Version", 0, 0}, error.what()}});
  }
}

// Returns the part of /v1/kind/{name}/{verb} that `index` counts from 0.
std::string PathPart(const std::string& path, std::size_t index) {
  std::size_t start = 1;
  for (std::size_t skipped = 0; skipped < index; ++skipped) {
    start = path.find('/', start) + 1;
  }
  return path.substr(start, path.find('/', start) - start);
}

constexpr std::size_t kNamePart = 2;
constexpr std::size_t kVerbPart = 3;

core::wave_state StateFor(const std::string& verb) {
  if (verb == "pause") {
    return core::wave_state::kPaused;
  }
  return verb == "resume" ? core::wave_state::kRunning
                          : core::wave_state::kCancelled;
}

std::string ReasonOf(const caller::http_request& request) {
  json_reader reader(request.body);
  const std::string reason = reader.Text("reason");
  reader.Finish();
  return reason.empty() ? "asked for by " + AuthorOf(request)
                        : reason + " (" + AuthorOf(request) + ")";
}

core::start_wave ReadWave(const caller::http_request& request,
                          const entry_view& view) {
  const auto state = StateOf(view);
  json_reader reader(request.body);
  core::start_wave wave;
  wave.wave = core::wave_id(reader.Name("wave"));
  for (std::string& name : reader.Names("pools")) {
    const auto& pools = state->targets.pools;
    const core::pool_id pool(std::move(name));
    const bool known = std::any_of(
        pools.begin(), pools.end(),
        [&](const core::pool_spec& spec) { return spec.name == pool; });
    if (!known) {
      reader.Report("pool '" + pool.value() + "' isn't in the targets");
    }
    wave.pools.push_back(pool);
  }
  wave.finish_by = reader.Time("finish_by");
  if (wave.finish_by != core::time_point() && wave.finish_by <= view.now) {
    reader.Report("'finish_by' is in the past");
  }
  reader.Finish();
  return wave;
}

core::job_requirements ReadJob(const caller::http_request& request) {
  json_reader reader(request.body);
  core::job_requirements spec;
  spec.name = core::job_id(reader.Name("job"));
  spec.team = core::team_id(reader.Text("team"));
  spec.pool = core::pool_id(reader.Name("pool"));
  spec.processors = reader.Count("processors", spec.processors);
  spec.memory_mb = reader.Count("memory_mb", spec.memory_mb);
  spec.accelerators = reader.Count("accelerators", spec.accelerators);
  spec.declared_run_time = reader.Duration("declared_run_time");
  spec.finish_by = reader.Time("finish_by");
  spec.urgent = reader.Flag("urgent");
  reader.Finish();
  return spec;
}

// The version of a new object is the offset of its first record.
constexpr std::nullopt_t kVersionIsOffset = std::nullopt;

// Returns the object called `name` of a list of views, or null.
json InList(const json& list, const char* key, const std::string& name) {
  for (const json& item : list) {
    if (item[key] == name) {
      return item;
    }
  }
  return nullptr;
}

}  // namespace

command_handlers::command_handlers(core::core_gateway gateway,
                                   view_function view,
                                   route_options options)
    : gateway_(std::move(gateway)), view_(std::move(view)), options_(options) {}

core::answer_operator command_handlers::Run(const caller::http_request& request,
                                            core::record_body body) const {
  std::future<core::answer_operator> future =
      gateway_.command(AuthorOf(request), std::move(body));
  // Without a limit a command that never ends would hold its HTTP thread; a
  // burst of them during an outage would leave none for callers. The record may
  // still appear, so the answer says that its end isn't known.
  if (future.wait_for(options_.command_patience) != std::future_status::ready) {
    core::answer_operator end;
    end.detail = "no answer within " +
                 std::to_string(options_.command_patience.count()) + " ms";
    return end;
  }
  return future.get();
}

caller::http_answer command_handlers::Finish(
    const caller::http_request& request,
    core::record_body body,
    std::optional<core::generation> version,
    const std::function<json(const core::fleet_state&)>& in_force) const {
  const core::answer_operator end = Run(request, std::move(body));
  switch (end.result) {
    case core::command_result::kAccepted:
      return JsonAnswer(kOk, {{"offset", end.offset},
                              {"version", version.value_or(end.offset)}});
    case core::command_result::kConflict:
      return JsonAnswer(kConflict, {{"error", "conflict"},
                                    {"message", end.detail},
                                    {"in_force", in_force(*StateOf(view_()))}});
    case core::command_result::kInvalid:
      return ErrorAnswer(kBadRequest, "invalid", end.detail);
    case core::command_result::kUnknown:
      break;
  }
  caller::http_answer answer = UnavailableAnswer(
      "whether the change will take effect isn't known; send it again with the "
      "same expected version: " +
      end.detail);
  answer.headers["Retry-After"] = std::to_string(options_.retry_after.count());
  return answer;
}

caller::http_answer command_handlers::PublishTargets(
    const caller::http_request& request) const {
  core::publish_configuration body;
  body.document = settings::ParseTargets(request.body, "targets.yaml");
  body.expected = ExpectedOf(request, StateOf(view_())->targets_version);
  const core::generation version = body.expected + 1;
  return Finish(request, std::move(body), version, TargetsView);
}

caller::http_answer command_handlers::StartWave(
    const caller::http_request& request) const {
  const core::start_wave wave = ReadWave(request, view_());
  return Finish(request, wave, kVersionIsOffset,
                [name = wave.wave](const core::fleet_state& state) {
                  return InList(WavesView(state), "wave", name.value());
                });
}

caller::http_answer command_handlers::ChangeWave(
    const caller::http_request& request) const {
  core::set_wave_state body;
  body.wave = core::wave_id(PathPart(request.path, kNamePart));
  body.state = StateFor(PathPart(request.path, kVerbPart));
  body.reason = ReasonOf(request);
  const auto state = StateOf(view_());
  const auto wave = state->waves.find(body.wave);
  if (wave == state->waves.end()) {
    return ErrorAnswer(kNotFound, "not-found",
                       "no wave is called '" + body.wave.value() + "'");
  }
  body.expected = ExpectedOf(request, wave->second.version);
  return Finish(request, body, body.expected + 1,
                [name = body.wave](const core::fleet_state& now) {
                  return InList(WavesView(now), "wave", name.value());
                });
}

caller::http_answer command_handlers::SubmitJob(
    const caller::http_request& request) const {
  const core::job_requirements spec = ReadJob(request);
  return Finish(request, core::submit_job{spec}, kVersionIsOffset,
                [name = spec.name](const core::fleet_state& state) {
                  return InList(JobsView(state), "job", name.value());
                });
}

caller::http_answer command_handlers::ChangeJob(
    const caller::http_request& request) const {
  core::set_job_state body;
  body.job = core::job_id(PathPart(request.path, kNamePart));
  body.state = PathPart(request.path, kVerbPart) == "cancel"
                   ? core::job_status::kCancelled
                   : core::job_status::kWaiting;
  body.reason = ReasonOf(request);
  const auto state = StateOf(view_());
  const auto job = state->jobs.find(body.job);
  if (job == state->jobs.end()) {
    return ErrorAnswer(kNotFound, "not-found",
                       "no job is called '" + body.job.value() + "'");
  }
  body.expected = ExpectedOf(request, job->second.version);
  return Finish(request, body, body.expected + 1,
                [name = body.job](const core::fleet_state& now) {
                  return InList(JobsView(now), "job", name.value());
                });
}

}  // namespace plantainhead::operators
