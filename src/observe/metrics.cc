#include "plantainhead/observe/metrics.h"

#include <array>
#include <cstdio>
#include <map>
#include <mutex>
#include <stdexcept>
#include <variant>

#include "plantainhead/core/visit.h"

namespace plantainhead::observe {
namespace {

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string JoinLabels(const label_list& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text +=
        (text.empty() ? "" : ",") + name + "=\"" + EscapeLabel(value) + "\"";
  }
  return text;
}

using metric = std::variant<std::unique_ptr<counter>,
                            std::unique_ptr<gauge>,
                            std::unique_ptr<latency_histogram>>;

const char* TypeOf(const metric& item) {
  return std::visit(
      core::overloaded{
          [](const std::unique_ptr<counter>&) { return "counter"; },
          [](const std::unique_ptr<gauge>&) { return "gauge"; },
          [](const std::unique_ptr<latency_histogram>&) { return "histogram"; },
      },
      item);
}

std::string FormatGauge(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

void AppendMetric(const std::string& name,
                  const std::string& labels,
                  const metric& item,
                  std::string* text) {
  const std::string full = labels.empty() ? name : name + "{" + labels + "}";
  std::visit(core::overloaded{
                 [&](const std::unique_ptr<counter>& value) {
                   *text += full + " " + std::to_string(value->value()) + "\n";
                 },
                 [&](const std::unique_ptr<gauge>& value) {
                   *text += full + " " + FormatGauge(value->value()) + "\n";
                 },
                 [&](const std::unique_ptr<latency_histogram>& value) {
                   value->AppendText(name, labels, text);
                 },
             },
             item);
}

}  // namespace

class metrics::registry {
 public:
  template <typename T>
  T& Find(const std::string& name,
          const std::string& help,
          const label_list& labels) {
    const std::lock_guard<std::mutex> lock(mutex_);
    family& group = families_[name];
    if (group.by_labels.empty()) {
      group.help = help;
    }
    const auto [item, is_new] = group.by_labels.try_emplace(JoinLabels(labels));
    if (is_new) {
      item->second = std::make_unique<T>();
    }
    return *std::get<std::unique_ptr<T>>(item->second);
  }

  std::string ToText() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [name, group] : families_) {
      text.append("# HELP ").append(name).append(" ").append(group.help);
      text.append("\n# TYPE ").append(name).append(" ");
      text.append(TypeOf(group.by_labels.begin()->second)).append("\n");
      for (const auto& [labels, item] : group.by_labels) {
        AppendMetric(name, labels, item, &text);
      }
    }
    return text;
  }

 private:
  struct family {
    std::string help;
    std::map<std::string, metric> by_labels;
  };

  mutable std::mutex mutex_;
  std::map<std::string, family> families_;
};

metrics::metrics() : registry_(std::make_unique<registry>()) {}
metrics::~metrics() = default;

counter& metrics::Counter(const std::string& name,
                          const std::string& help,
                          const label_list& labels) {
  return registry_->Find<counter>(name, help, labels);
}

gauge& metrics::Gauge(const std::string& name,
                      const std::string& help,
                      const label_list& labels) {
  return registry_->Find<gauge>(name, help, labels);
}

latency_histogram& metrics::Latency(const std::string& name,
                                    const std::string& help,
                                    const label_list& labels) {
  return registry_->Find<latency_histogram>(name, help, labels);
}

std::string metrics::ToText() const {
  return registry_->ToText();
}

}  // namespace plantainhead::observe
