#include "plantainhead/operators/control.h"

#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

#include "operators/table.h"
#include "operators/views.h"
#include "plantainhead/core/findings.h"

namespace plantainhead::operators {
namespace {

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;

std::string Cell(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (!value.is_array()) {
    return value.dump();
  }
  std::string text;
  for (const json& item : value) {
    text += (text.empty() ? "" : ",") + Cell(item);
  }
  return text;
}

void WriteList(const json& list,
               const std::vector<std::string>& keys,
               std::ostream* out) {
  std::vector<std::vector<std::string>> rows = {keys};
  for (const json& item : list) {
    std::vector<std::string> row;
    row.reserve(keys.size());
    for (const std::string& key : keys) {
      row.push_back(item.contains(key) ? Cell(item[key]) : "");
    }
    rows.push_back(std::move(row));
  }
  WriteTable(rows, out);
}

// Each HTTP status has one exit code.
exit_code CodeOf(int status) {
  static const std::map<int, exit_code> kCodes = {
      {200, exit_code::kOk},          {400, exit_code::kBadInput},
      {404, exit_code::kBadInput},    {409, exit_code::kConflict},
      {503, exit_code::kUnreachable},
  };
  const auto code = kCodes.find(status);
  return code == kCodes.end() ? exit_code::kFailed : code->second;
}

}  // namespace

control::control(control_context context, std::ostream* out, std::ostream* err)
    : context_(std::move(context)),
      client_(context_.entries, context_.client),
      out_(out),
      err_(err) {
  if (!context_.sleep) {
    context_.sleep = [](std::chrono::milliseconds time) {
      std::this_thread::sleep_for(time);
    };
  }
}

exit_code control::Guard(const std::function<exit_code()>& body) {
  try {
    return body();
  } catch (const core::findings_error& error) {
    *err_ << error.what() << '\n';
    return exit_code::kBadInput;
  } catch (const std::invalid_argument& error) {
    *err_ << error.what() << '\n';
    return exit_code::kBadInput;
  } catch (const unreachable_error& error) {
    *err_ << error.what() << '\n';
    return exit_code::kUnreachable;
  } catch (const json::exception& error) {
    *err_ << "an entry's answer can't be read: " << error.what() << '\n';
    return exit_code::kFailed;
  }
}

caller::http_answer control::Get(const std::string& path) const {
  client_request request;
  request.path = path;
  return client_.Send(request);
}

caller::http_answer control::Change(const client_request& request) const {
  client_request signed_request = request;
  signed_request.headers["Plantain-Author"] = context_.author;
  return client_.Send(signed_request);
}

exit_code control::Refused(const caller::http_answer& answer) {
  if (context_.format == output_format::kJson) {
    *out_ << answer.body;
  }
  const json body = json::parse(answer.body, nullptr, false);
  if (body.is_object() && body.contains("message")) {
    *err_ << Cell(body["message"]) << '\n';
  } else {
    *err_ << "an entry answered " << answer.status << '\n';
  }
  if (body.is_object() && body.contains("in_force") &&
      !body["in_force"].is_null()) {
    const json& in_force = body["in_force"];
    *err_ << "in force: " << in_force.dump(2) << '\n';
  }
  return CodeOf(answer.status);
}

exit_code control::PrintDone(const caller::http_answer& answer,
                             const std::string& what) {
  if (answer.status != kOkStatus) {
    return Refused(answer);
  }
  if (context_.format == output_format::kJson) {
    *out_ << answer.body;
    return exit_code::kOk;
  }
  const json body = json::parse(answer.body);
  *out_ << what << " at offset " << body["offset"] << '\n';
  return exit_code::kOk;
}

exit_code control::ShowList(const std::string& path,
                            const std::vector<std::string>& keys) {
  return Guard([&] {
    const caller::http_answer answer = Get(path);
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    if (context_.format == output_format::kJson) {
      *out_ << answer.body;
    } else {
      WriteList(json::parse(answer.body), keys, out_);
    }
    return exit_code::kOk;
  });
}

exit_code control::Status() {
  return Guard([&] {
    const caller::http_answer answer = Get("/v1/status");
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    if (context_.format == output_format::kJson) {
      *out_ << answer.body;
      return exit_code::kOk;
    }
    const json status = json::parse(answer.body);
    std::vector<std::vector<std::string>> rows = {
        {"entry", Cell(status["name"])}};
    for (const char* key : {"zone", "incarnation", "ready", "reason",
                            "log_available", "log_end", "offset", "view"}) {
      rows.push_back({key, status.contains(key) ? Cell(status[key]) : ""});
    }
    if (status.contains("targets")) {
      const json& targets = status["targets"];
      rows.push_back({"targets", "version " + Cell(targets["version"]) +
                                     " at offset " + Cell(targets["offset"]) +
                                     " by " + Cell(targets["author"])});
      rows.push_back({"planner", Cell(status["lease"]["name"]) + " in epoch " +
                                     Cell(status["lease"]["epoch"])});
    }
    WriteTable(rows, out_);
    if (status.contains("members")) {
      *out_ << '\n';
      WriteList(status["members"],
                {"name", "zone", "host", "http_port", "peer_port",
                 "incarnation", "accusers"},
                out_);
    }
    *out_ << '\n';
    WriteList(status["load"], {"service", "slots", "busy", "queued"}, out_);
    return exit_code::kOk;
  });
}

void control::FixVersion(const std::string& path,
                         const std::string& kind,
                         const std::string& name,
                         client_request* request) const {
  const caller::http_answer answer = Get(path);
  const json list = json::parse(answer.body);
  if (!list.is_array()) {
    return;
  }
  for (const json& item : list) {
    if (item[kind] == name) {
      request->headers["Plantain-Expected-Version"] = item["version"].dump();
    }
  }
}

exit_code control::SendChange(const client_request& request,
                              const std::string& what,
                              const std::vector<expected_field>& wanted) {
  caller::http_answer answer = Change(request);
  if (answer.status != kConflictStatus) {
    return PrintDone(answer, what);
  }
  const json in_force = json::parse(answer.body).value("in_force", json());
  bool own =
      in_force.is_object() && in_force.value("author", "") == context_.author;
  for (const expected_field& field : wanted) {
    own = own && in_force.contains(field.key) &&
          in_force[field.key].dump() == field.value;
  }
  if (!own) {
    return Refused(answer);
  }
  *out_ << what << " (it was in force already)\n";
  return exit_code::kOk;
}

exit_code control::StartWave(const wave_options& options) {
  return Guard([&] {
    const json pools = options.pools;
    const json finish_by = options.finish_by;
    json body = {{"wave", options.wave}, {"pools", pools}};
    if (!options.finish_by.empty()) {
      body["finish_by"] = finish_by;
    }
    const client_request request{"POST", "/v1/waves", {}, body.dump()};
    return SendChange(request, "wave " + options.wave + " started",
                      {{"state", "\"running\""},
                       {"pools", pools.dump()},
                       {"finish_by", finish_by.dump()}});
  });
}

exit_code control::ChangeWave(const std::string& wave,
                              const std::string& verb,
                              const std::string& reason) {
  static const std::map<std::string, std::string> kStates = {
      {"pause", "\"paused\""},
      {"resume", "\"running\""},
      {"cancel", "\"cancelled\""},
  };
  return Guard([&] {
    const json body = {{"reason", reason}};
    client_request request{
        "POST", "/v1/waves/" + wave + "/" + verb, {}, body.dump()};
    FixVersion("/v1/waves", "wave", wave, &request);
    return SendChange(request, "wave " + wave + ": " + verb,
                      {{"state", kStates.at(verb)}});
  });
}

exit_code control::ShowWaves(const std::string& wave) {
  if (!wave.empty()) {
    return ShowOne("/v1/waves", "wave", wave);
  }
  return ShowList("/v1/waves", {"wave", "state", "version", "pools", "visited",
                                "vms", "finish_by", "author", "reason"});
}

exit_code control::ShowVms() {
  return ShowList("/v1/vms", {"vm", "pool", "phase", "version", "quarantined",
                              "wave", "reason"});
}

exit_code control::ShowPools() {
  return ShowList("/v1/pools", {"pool", "team", "least_vms", "vms", "serving",
                                "quarantined"});
}

exit_code control::ShowJobs() {
  return ShowList("/v1/jobs", {"job", "state", "team", "pool", "vm", "urgent",
                               "finish_by", "failures", "reason"});
}

exit_code control::SubmitJob(const job_options& options) {
  return Guard([&] {
    json body = {{"job", options.job},
                 {"pool", options.pool},
                 {"team", options.team},
                 {"processors", options.processors},
                 {"memory_mb", options.memory_mb},
                 {"accelerators", options.accelerators},
                 {"urgent", options.urgent},
                 {"finish_by", options.finish_by}};
    std::vector<expected_field> wanted;
    for (const auto& [key, value] : body.items()) {
      wanted.push_back({key, value.dump()});
    }
    body["declared_run_time"] = options.declared_run_time;
    const client_request request{"POST", "/v1/jobs", {}, body.dump()};
    return SendChange(request, "job " + options.job + " submitted", wanted);
  });
}

exit_code control::ChangeJob(const std::string& job,
                             const std::string& verb,
                             const std::string& reason) {
  static const std::map<std::string, std::string> kStates = {
      {"cancel", "\"cancelled\""},
      {"retry", "\"waiting\""},
  };
  return Guard([&] {
    const json body = {{"reason", reason}};
    client_request request{
        "POST", "/v1/jobs/" + job + "/" + verb, {}, body.dump()};
    FixVersion("/v1/jobs", "job", job, &request);
    return SendChange(request, "job " + job + ": " + verb,
                      {{"state", kStates.at(verb)}});
  });
}

exit_code control::Burn() {
  static const std::map<output_format, std::string> kFormats = {
      {output_format::kTable, "text"},
      {output_format::kJson, "json"},
      {output_format::kHtml, "html"},
  };
  return Guard([&] {
    const caller::http_answer answer =
        Get("/v1/burn?format=" + kFormats.at(context_.format));
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    *out_ << answer.body;
    return exit_code::kOk;
  });
}

exit_code control::Explain(const std::string& vm) {
  return ShowOne("/v1/vms", "vm", vm);
}

exit_code control::ShowOne(const std::string& path,
                           const std::string& kind,
                           const std::string& name) {
  return Guard([&] {
    const caller::http_answer answer = Get(path);
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    for (const json& item : json::parse(answer.body)) {
      if (item[kind] != name) {
        continue;
      }
      if (context_.format == output_format::kJson) {
        *out_ << item.dump(2) << '\n';
        return exit_code::kOk;
      }
      std::vector<std::vector<std::string>> rows;
      for (const auto& [key, value] : item.items()) {
        rows.push_back({key, Cell(value)});
      }
      WriteTable(rows, out_);
      return exit_code::kOk;
    }
    *err_ << "no " << kind << " is called '" << name << "'\n";
    return exit_code::kBadInput;
  });
}

}  // namespace plantainhead::operators
