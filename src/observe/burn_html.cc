#include "observe/burn_plot.h"
#include "observe/burn_words.h"
#include "plantainhead/observe/burn.h"

namespace plantainhead::observe {
namespace {

constexpr char kHead[] = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service-level burn</title>
<style>
:root { color-scheme: light dark; --ink: #1b1b1a; --quiet: #5f5e5a;
  --page: #fcfcfb; --rule: #d9d8d4; --late: #8a63d2;
  --maintenance: #2a78d6; --failure: #d03b3b; --overload: #c98500; }
@media (prefers-color-scheme: dark) { :root { --ink: #f2f1ed; --quiet: #a8a7a1;
  --page: #1a1a19; --rule: #3b3a38; --late: #a88ae6;
  --maintenance: #5b9bea; --failure: #e66767; --overload: #e0a020; } }
body { font: 14px/1.45 system-ui, sans-serif; color: var(--ink);
  background: var(--page); max-width: 84rem; margin: 2rem auto;
  padding: 0 1rem; }
h1 { font-size: 1.4rem; margin: 0; }
h2 { font-size: 1rem; margin: 1.6rem 0 .2rem; }
p { color: var(--quiet); margin: .2rem 0 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%;
  font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .5rem; white-space: nowrap;
  border-bottom: 1px solid var(--rule); }
th { color: var(--quiet); font-weight: 500; }
td:last-child { white-space: normal; min-width: 11rem; }
th:nth-child(-n+2), td:nth-child(-n+2), th:last-child, td:last-child
  { text-align: left; }
tr.spent td:nth-child(6) { color: var(--failure); font-weight: 700; }
svg { width: 100%; max-width: 52rem; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: var(--quiet); }
.axis { stroke: var(--rule); }
.allowed { stroke: var(--ink); stroke-dasharray: 4 3; }
.late { fill: var(--late); background: var(--late); }
.maintenance { fill: var(--maintenance); background: var(--maintenance); }
.failure { fill: var(--failure); background: var(--failure); }
.overload { fill: var(--overload); background: var(--overload); }
.key { display: inline-block; width: .8em; height: .8em; margin: 0 .4em 0 1em; }
</style></head><body>
)";

std::string TableRow(const std::vector<std::string>& cells,
                     const std::string& tag) {
  std::string html;
  const std::string open = "<" + tag + ">";
  const std::string close = "</" + tag + ">";
  for (const std::string& cell : cells) {
    html += open;
    html += EscapeHtml(cell);
    html += close;
  }
  return html;
}

std::string Table(const burn_report& report) {
  std::string html = "<div class=\"scroll\"><table><thead><tr>" +
                     TableRow(BurnHeadings(), "th") + "</tr></thead><tbody>\n";
  for (const burn_row& row : BurnRows(report)) {
    html += row.left <= 0 ? "<tr class=\"spent\">" : "<tr>";
    html += TableRow(row.cells, "td") + "</tr>\n";
  }
  return html + "</tbody></table></div>\n";
}

std::string Legend() {
  std::string html = "<p>Missed by cause:";
  for (const auto& [fate, name] : core::kSloOutcomeNames) {
    if (fate == core::slo_outcome::kServed) {
      continue;
    }
    html += "<span class=\"key " + std::string(name) + "\"></span>" +
            std::string(name);
  }
  return html + "</p>\n";
}

}  // namespace

std::string ToHtml(const burn_report& report) {
  std::string html = kHead;
  html +=
      "<h1>Service-level burn</h1>\n<p>At " + TimeText(report.at) + ".</p>\n";
  html += Table(report) + Legend();
  for (const class_report& item : report.classes) {
    html += "<h2>" + EscapeHtml(item.target.name.value()) + "</h2>\n" +
            BurnPlot(item) + "\n";
  }
  return html + "</body></html>\n";
}

}  // namespace plantainhead::observe
