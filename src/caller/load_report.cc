#include "caller/load_report.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "caller/latency_histogram.h"

namespace plantainhead::caller {
namespace {

using nlohmann::json;

// Figures that a comparison shows, in their order.
constexpr std::array<const char*, 9> kComparedFigures = {
    "sent",   "done",   "in_time", "not_run", "unknown",
    "p50_ms", "p90_ms", "p99_ms",  "max_ms"};

// Figures of the audit, which are 0 when all promises were kept, but for the
// count of runners read.
constexpr std::array<const char*, 7> kAuditFigures = {
    "crossed",   "lost",           "doubled",     "dishonest",
    "unfounded", "unread_runners", "read_runners"};

constexpr int kNameWidth = 24;
constexpr int kFigureWidth = 11;

std::string NameOfClass(const json& figures) {
  return figures.at("service").get<std::string>() + "/" +
         figures.at("class").get<std::string>();
}

std::string ToText(const std::map<std::string, std::uint64_t>& reasons) {
  std::string text;
  for (const auto& [reason, count] : reasons) {
    text += (text.empty() ? "" : ", ") + reason + " " + std::to_string(count);
  }
  return text;
}

}  // namespace

struct load_report::class_figures {
  load_class what;
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t in_time = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t crossed = 0;
  std::map<std::string, std::uint64_t> reasons;
  latency_histogram times;
};

load_report::load_report(std::vector<load_class> classes) {
  for (load_class& item : classes) {
    classes_.push_back(std::make_unique<class_figures>());
    classes_.back()->what = std::move(item);
  }
}

load_report::~load_report() = default;

void load_report::Add(const load_result& result) {
  class_figures& figures = *classes_.at(result.kind);
  if (result.how == load_outcome::kNotSent) {
    ++figures.not_sent;
    return;
  }
  attempts& all = attempts_[result.number];
  all.kind = result.kind;
  ++all.sent;
  ++figures.sent;
  figures.crossed += result.crossed ? 1 : 0;
  if (!result.reason.empty() && result.reason != "none") {
    ++figures.reasons[result.reason];
  }
  switch (result.how) {
    case load_outcome::kDone:
      // A failure that the endpoint reports needs no run.
      all.done += result.status == 200 ? 1 : 0;
      ++figures.done;
      figures.in_time += result.took <= figures.what.deadline ? 1 : 0;
      figures.times.Add(result.took);
      break;
    case load_outcome::kNotRun:
      ++all.not_run;
      ++figures.not_run;
      break;
    case load_outcome::kUnknown:
      ++figures.unknown;
      break;
    case load_outcome::kConnectionFailed:
      ++figures.failed;
      break;
    case load_outcome::kLost:
    case load_outcome::kNotSent:
      ++figures.lost;
      break;
  }
}

void load_report::AuditOne(const attempts& of, std::uint64_t runs) {
  const bool idempotent = classes_.at(of.kind)->what.idempotent;
  audit_.doubled += !idempotent && runs > 1 ? 1 : 0;
  audit_.dishonest += of.not_run == of.sent && runs > 0 ? 1 : 0;
  // A runner that couldn't be read may have run it.
  audit_.unfounded +=
      of.done > 0 && runs == 0 && audit_.unread_runners == 0 ? 1 : 0;
}

bool load_report::IsClean() const {
  for (const auto& figures : classes_) {
    if (figures->crossed > 0 || figures->lost > 0) {
      return false;
    }
  }
  return audit_.doubled == 0 && audit_.dishonest == 0;
}

json load_report::ToJson() const {
  json report;
  report["classes"] = json::array();
  std::uint64_t crossed = 0;
  std::uint64_t lost = 0;
  for (const auto& figures : classes_) {
    crossed += figures->crossed;
    lost += figures->lost;
    report["classes"].push_back({{"service", figures->what.service},
                                 {"class", figures->what.name},
                                 {"sent", figures->sent},
                                 {"done", figures->done},
                                 {"in_time", figures->in_time},
                                 {"not_run", figures->not_run},
                                 {"unknown", figures->unknown},
                                 {"failed", figures->failed},
                                 {"lost", figures->lost},
                                 {"not_sent", figures->not_sent},
                                 {"crossed", figures->crossed},
                                 {"reasons", figures->reasons},
                                 {"p50_ms", figures->times.Quantile(0.5)},
                                 {"p90_ms", figures->times.Quantile(0.9)},
                                 {"p99_ms", figures->times.Quantile(0.99)},
                                 {"max_ms", figures->times.Max()}});
  }
  report["audit"] = {{"crossed", crossed},
                     {"lost", lost},
                     {"doubled", audit_.doubled},
                     {"dishonest", audit_.dishonest},
                     {"unfounded", audit_.unfounded},
                     {"unread_runners", audit_.unread_runners},
                     {"read_runners", audit_.read_runners}};
  report["clean"] = IsClean();
  return report;
}

std::string ToText(const json& report) {
  std::ostringstream out;
  out << std::left << std::setw(kNameWidth) << "class" << std::right;
  for (const char* name : kComparedFigures) {
    out << std::setw(kFigureWidth) << name;
  }
  out << "\n" << std::fixed << std::setprecision(1);
  for (const json& figures : report.at("classes")) {
    out << std::left << std::setw(kNameWidth) << NameOfClass(figures)
        << std::right;
    for (const char* name : kComparedFigures) {
      const json& value = figures.at(name);
      out << std::setw(kFigureWidth);
      if (value.is_number_float()) {
        out << value.get<double>();
      } else {
        out << value.get<std::uint64_t>();
      }
    }
    out << "\n";
    const auto reasons =
        figures.at("reasons").get<std::map<std::string, std::uint64_t>>();
    if (!reasons.empty()) {
      out << "  reasons: " << ToText(reasons) << "\n";
    }
    for (const char* name : {"failed", "lost", "not_sent", "crossed"}) {
      if (figures.at(name).get<std::uint64_t>() > 0) {
        out << "  " << name << ": " << figures.at(name) << "\n";
      }
    }
  }
  out << "audit:";
  for (const char* name : kAuditFigures) {
    out << " " << name << " " << report.at("audit").at(name);
  }
  out << "\n"
      << (report.at("clean").get<bool>() ? "clean" : "NOT CLEAN") << "\n";
  return out.str();
}

std::string Compare(const json& before, const json& after) {
  std::map<std::string, json> earlier;
  for (const json& figures : before.at("classes")) {
    earlier[NameOfClass(figures)] = figures;
  }
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  const auto line = [&](const char* name, const json& a, const json& b) {
    const double from = a.at(name).get<double>();
    const double to = b.at(name).get<double>();
    out << "  " << std::left << std::setw(kNameWidth) << name << std::right
        << std::setw(kFigureWidth) << from << std::setw(kFigureWidth) << to
        << std::setw(kFigureWidth) << std::showpos << to - from
        << std::noshowpos << "\n";
  };
  for (const json& figures : after.at("classes")) {
    const std::string name = NameOfClass(figures);
    out << name << "\n";
    if (earlier.count(name) == 0) {
      out << "  only in the second report\n";
      continue;
    }
    for (const char* figure : kComparedFigures) {
      line(figure, earlier[name], figures);
    }
  }
  out << "audit\n";
  for (const char* figure : kAuditFigures) {
    line(figure, before.at("audit"), after.at("audit"));
  }
  return out.str();
}

}  // namespace plantainhead::caller
