#include "fleet_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace plantainhead::review {
namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds kUpkeepTime(2);

std::uint64_t TokenOf(const net::server_request& request) {
  const std::string& text =
      net::FindHeader(request.headers, "X-Plantainhead-Fencing-Token");
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

fleet_platform::fleet_platform(boost::asio::io_context* context,
                               const std::string& address,
                               const std::set<std::string>& machines,
                               std::string pool)
    : context_(context),
      pool_(std::move(pool)),
      server_(
          context,
          address,
          net::http_server_options(),
          [this](const net::server_request& request,
                 const net::responder& respond) { Handle(request, respond); }) {
  for (const std::string& name : machines) {
    machines_[name] = {};
  }
}

void fleet_platform::Handle(const net::server_request& request,
                            const net::responder& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/plantainhead/machines") {
    respond({200, {}, List()});
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  machine_order order;
  order.machine = body.value("machine", "");
  order.holder =
      net::FindHeader(request.headers, "X-Plantainhead-Lease-Holder");
  order.token = TokenOf(request);
  if (machines_.count(order.machine) == 0) {
    order.status = 400;
  } else if (path == "/plantainhead/machine-upkeep") {
    order.status = BeginUpkeep(order.machine);
  } else {
    order.status = body.value("pool", "") == pool_ ? 200 : 400;
  }
  if (on_order) {
    on_order(order);
  }
  const json answer =
      order.status == 409 ? json{{"reason", "busy"}} : json::object();
  respond({order.status, {}, answer.dump()});
}

unsigned fleet_platform::BeginUpkeep(const std::string& name) {
  machine& one = machines_.at(name);
  if (one.has_had_upkeep) {
    return 200;
  }
  if (!one.is_up) {
    return 409;
  }
  one.is_up = false;
  one.has_had_upkeep = true;
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(kUpkeepTime);
  timer->async_wait(
      [this, name, timer](const boost::system::error_code& error) {
        if (!error) {
          machines_.at(name).is_up = true;
        }
      });
  return 200;
}

std::string fleet_platform::List() const {
  json rows = json::array();
  for (const auto& [name, one] : machines_) {
    rows.push_back(
        {{"machine", name},
         {"pool", pool_},
         {"state", one.is_up ? "up" : "upkeep"},
         {"zone", "zone-1"},
         {"labels", json::array({"a", "r1-1"})},
         {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}}});
  }
  return json{{"machines", rows}, {"next_token", nullptr}}.dump();
}

}  // namespace plantainhead::review
