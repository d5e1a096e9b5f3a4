#include <set>
#include <string>
#include <utility>

#include "operators/target_diff.h"
#include "operators/views.h"
#include "plantainhead/core/findings.h"
#include "plantainhead/operators/control.h"
#include "plantainhead/settings/entry_settings.h"
#include "plantainhead/settings/files.h"
#include "plantainhead/settings/targets.h"

namespace plantainhead::operators {
namespace {

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;
constexpr std::chrono::milliseconds kPollInterval(100);
constexpr std::chrono::milliseconds kPollTimeout(1000);

// The targets in force as an entry shows them.
struct targets_in_force {
  std::uint64_t version = 0;
  std::uint64_t offset = 0;
  std::string author;
  core::configuration document;
};

targets_in_force ReadTargets(const json& body) {
  targets_in_force read;
  read.version = body["version"];
  read.offset = body["offset"];
  read.author = body["author"];
  read.document = settings::ParseTargets(body["targets"], "in force");
  return read;
}

// Returns true when a conflict shows this very change in force: an earlier
// entry carried it out but its answer was lost, and the next entry refused the
// second copy. Telling the operator "conflict" would be wrong.
bool IsOwnChange(const caller::http_answer& answer,
                 const core::configuration& wanted,
                 std::uint64_t expected,
                 const std::string& author,
                 targets_in_force* found) {
  if (answer.status != kConflictStatus) {
    return false;
  }
  const json body = json::parse(answer.body);
  if (!body.contains("in_force") || body["in_force"].is_null()) {
    return false;
  }
  *found = ReadTargets(body["in_force"]);
  return found->version == expected + 1 && found->author == author &&
         found->document == wanted;
}

// Returns true when the entry itself, not another process that took over its
// port, says that it has reached `offset`.
bool HasReached(const json& member,
                std::uint64_t offset,
                client_options options) {
  options.connect_timeout = kPollTimeout;
  options.read_timeout = kPollTimeout;
  const entry_address address{member["host"], member["http_port"]};
  const entry_client client({address}, options);
  try {
    client_request request;
    request.path = "/v1/status";
    const caller::http_answer answer = client.Send(request);
    const json status = json::parse(answer.body, nullptr, false);
    return status.is_object() &&
           status.value("incarnation", "") == member["incarnation"] &&
           status.contains("targets") &&
           status["targets"].value("offset", std::uint64_t{0}) >= offset;
  } catch (const unreachable_error&) {
    return false;
  }
}

std::string CheckEntrySettings(const std::string& text,
                               const std::string& file) {
  const settings::entry_settings read =
      settings::ParseEntrySettings(text, file);
  return "settings of entry '" + read.name.value() + "'";
}

std::string CheckTargets(const std::string& text, const std::string& file) {
  const core::configuration read = settings::ParseTargets(text, file);
  return "targets of " + std::to_string(read.classes.size()) + " classes on " +
         std::to_string(read.services.size()) + " services";
}

// Targets have a schema version, an entry's settings a platform.
bool LooksLikeTargets(const std::string& text) {
  return text.starts_with("version:") ||
         text.find("\nversion:") != std::string::npos;
}

}  // namespace

exit_code control::Publish(const publish_options& options) {
  return Guard([&] {
    const std::string text = settings::ReadFile(options.file);
    const core::configuration wanted =
        settings::ParseTargets(text, options.file);
    // The version is fixed here, once: if each entry that is tried took the one
    // in force, a second copy of the request would undo what another operator
    // published in between.
    std::uint64_t expected = options.expected.value_or(0);
    if (!options.expected) {
      const caller::http_answer now = Get("/v1/targets");
      if (now.status != kOkStatus) {
        return Refused(now);
      }
      expected = json::parse(now.body)["version"];
    }
    client_request request{"PUT", "/v1/targets", {}, text};
    request.headers["Plantain-Expected-Version"] = std::to_string(expected);
    request.headers["Content-Type"] = "application/yaml";
    caller::http_answer answer = Change(request);
    targets_in_force found;
    if (IsOwnChange(answer, wanted, expected, context_.author, &found)) {
      answer.status = kOkStatus;
      const json body = {{"offset", found.offset}, {"version", found.version}};
      answer.body = body.dump(2) + "\n";
    }
    const exit_code done = PrintDone(answer, "targets are in force");
    if (done != exit_code::kOk || !options.wait) {
      return done;
    }
    return WaitForAll(json::parse(answer.body)["offset"], options.wait_limit);
  });
}

exit_code control::WaitForAll(std::uint64_t offset,
                              std::chrono::milliseconds limit) {
  const auto start = std::chrono::steady_clock::now();
  std::set<std::string> reached;
  while (true) {
    std::string missing;
    const caller::http_answer answer = Get("/v1/status");
    const json status = json::parse(answer.body, nullptr, false);
    const bool known = status.is_object() && status.contains("members");
    if (known) {
      for (const json& member : status["members"]) {
        const std::string who = member["incarnation"];
        if (reached.contains(who)) {
          continue;
        }
        if (HasReached(member, offset, context_.client)) {
          reached.insert(who);
        } else {
          missing += " " + member["name"].get<std::string>();
        }
      }
    }
    if (known && missing.empty()) {
      *err_ << "every live entry has offset " << offset << " in force\n";
      return exit_code::kOk;
    }
    if (std::chrono::steady_clock::now() - start >= limit) {
      *err_ << "accepted, but not yet in force at:"
            << (missing.empty() ? " (the view isn't known)" : missing) << '\n';
      return exit_code::kFailed;
    }
    context_.sleep(kPollInterval);
  }
}

exit_code control::Show() {
  return Guard([&] {
    const caller::http_answer answer = Get("/v1/targets");
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    if (context_.format == output_format::kJson) {
      *out_ << answer.body;
      return exit_code::kOk;
    }
    const json body = json::parse(answer.body);
    *out_ << "# version " << body["version"] << " at offset " << body["offset"]
          << " by " << body["author"].get<std::string>() << '\n'
          << body["targets"].get<std::string>();
    return exit_code::kOk;
  });
}

exit_code control::Diff(const std::string& file) {
  return Guard([&] {
    const core::configuration wanted =
        settings::ParseTargets(settings::ReadFile(file), file);
    const caller::http_answer answer = Get("/v1/targets");
    if (answer.status != kOkStatus) {
      return Refused(answer);
    }
    const targets_in_force now = ReadTargets(json::parse(answer.body));
    const std::vector<std::string> lines = DiffTargets(now.document, wanted);
    if (context_.format == output_format::kJson) {
      const json body = {{"version", now.version}, {"changes", lines}};
      *out_ << body.dump(2) << '\n';
      return exit_code::kOk;
    }
    for (const std::string& line : lines) {
      *out_ << line << '\n';
    }
    return exit_code::kOk;
  });
}

exit_code control::Check(const std::string& file) {
  return Guard([&] {
    const std::string text = settings::ReadFile(file);
    const std::string what = LooksLikeTargets(text)
                                 ? CheckTargets(text, file)
                                 : CheckEntrySettings(text, file);
    *out_ << file << ": " << what << '\n';
    return exit_code::kOk;
  });
}

}  // namespace plantainhead::operators
