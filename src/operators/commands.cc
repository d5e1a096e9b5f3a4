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
constexpr int kUnavailable = 503;

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
  json_reader reader(request.body);
  core::start_wave wave;
  wave.wave = core::wave_id(reader.Name("wave"));
  for (std::string& name : reader.Names("pools")) {
    const auto& pools = view.state->targets.pools;
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

core::job_spec ReadJob(const caller::http_request& request) {
  json_reader reader(request.body);
  core::job_spec spec;
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

caller::http_answer Accepted(const core::answer_operator& end,
                             core::generation version) {
  return JsonAnswer(kOk, {{"offset", end.offset}, {"version", version}});
}

caller::http_answer ConflictAnswer(const core::answer_operator& end,
                                   json in_force) {
  return JsonAnswer(kConflict, {{"error", "conflict"},
                                {"message", end.detail},
                                {"in_force", std::move(in_force)}});
}

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

caller::http_answer command_handlers::Unavailable(
    const std::string& message) const {
  caller::http_answer answer =
      ErrorAnswer(kUnavailable, "unavailable", message);
  answer.headers["Retry-After"] = std::to_string(options_.retry_after.count());
  return answer;
}

caller::http_answer command_handlers::Refusal(
    const core::answer_operator& end) const {
  if (end.result == core::command_result::kInvalid) {
    return ErrorAnswer(kBadRequest, "invalid", end.detail);
  }
  return Unavailable(
      "whether the change will take effect isn't known; send it again with the "
      "same expected version: " +
      end.detail);
}

caller::http_answer command_handlers::PublishTargets(
    const caller::http_request& request) const {
  core::publish_configuration body;
  body.document = settings::ParseTargets(request.body, "targets.yaml");
  const entry_view before = view_();
  if (before.state == nullptr) {
    return Unavailable("this entry has not read the log yet");
  }
  body.expected = ExpectedOf(request, before.state->targets_version);
  const core::generation version = body.expected + 1;
  const core::answer_operator end = Run(request, std::move(body));
  if (end.result == core::command_result::kAccepted) {
    return Accepted(end, version);
  }
  if (end.result == core::command_result::kConflict) {
    return ConflictAnswer(end, TargetsView(*view_().state));
  }
  return Refusal(end);
}

caller::http_answer command_handlers::StartWave(
    const caller::http_request& request) const {
  const entry_view before = view_();
  if (before.state == nullptr) {
    return Unavailable("this entry has not read the log yet");
  }
  const core::start_wave wave = ReadWave(request, before);
  const core::answer_operator end = Run(request, wave);
  if (end.result == core::command_result::kAccepted) {
    return Accepted(end, 1);
  }
  if (end.result == core::command_result::kConflict) {
    return ConflictAnswer(
        end, InList(WavesView(*view_().state), "wave", wave.wave.value()));
  }
  return Refusal(end);
}

caller::http_answer command_handlers::ChangeWave(
    const caller::http_request& request) const {
  core::set_wave_state body;
  body.wave = core::wave_id(PathPart(request.path, kNamePart));
  body.state = StateFor(PathPart(request.path, kVerbPart));
  body.reason = ReasonOf(request);
  const entry_view before = view_();
  if (before.state == nullptr) {
    return Unavailable("this entry has not read the log yet");
  }
  const auto wave = before.state->waves.find(body.wave);
  if (wave == before.state->waves.end()) {
    return ErrorAnswer(kNotFound, "not-found",
                       "no wave is called '" + body.wave.value() + "'");
  }
  body.expected = ExpectedOf(request, wave->second.version);
  const core::answer_operator end = Run(request, body);
  if (end.result == core::command_result::kAccepted) {
    return Accepted(end, body.expected + 1);
  }
  if (end.result == core::command_result::kConflict) {
    return ConflictAnswer(
        end, InList(WavesView(*view_().state), "wave", body.wave.value()));
  }
  return Refusal(end);
}

caller::http_answer command_handlers::SubmitJob(
    const caller::http_request& request) const {
  const core::job_spec spec = ReadJob(request);
  const core::answer_operator end = Run(request, core::submit_job{spec});
  if (end.result == core::command_result::kAccepted) {
    return Accepted(end, 1);
  }
  if (end.result == core::command_result::kConflict) {
    return ConflictAnswer(
        end, InList(JobsView(*view_().state), "job", spec.name.value()));
  }
  return Refusal(end);
}

caller::http_answer command_handlers::CancelJob(
    const caller::http_request& request) const {
  core::set_job_state body;
  body.job = core::job_id(PathPart(request.path, kNamePart));
  body.state = core::job_state::kCancelled;
  body.reason = ReasonOf(request);
  const entry_view before = view_();
  if (before.state == nullptr) {
    return Unavailable("this entry has not read the log yet");
  }
  const auto job = before.state->jobs.find(body.job);
  if (job == before.state->jobs.end()) {
    return ErrorAnswer(kNotFound, "not-found",
                       "no job is called '" + body.job.value() + "'");
  }
  body.expected = ExpectedOf(request, job->second.version);
  const core::answer_operator end = Run(request, body);
  if (end.result == core::command_result::kAccepted) {
    return Accepted(end, body.expected + 1);
  }
  if (end.result == core::command_result::kConflict) {
    return ConflictAnswer(
        end, InList(JobsView(*view_().state), "job", body.job.value()));
  }
  return Refusal(end);
}

}  // namespace plantainhead::operators
