#include "plantainhead/core/jobs/routing.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

queue_route Route(const queue_id& queue,
                  const std::string& host,
                  const std::string& prefix) {
  queue_route route;
  route.queue = queue;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

TEST_CASE("A request is routed by the longest prefix of its host") {
  routing_configuration configuration;
  configuration.routes = {Route("short", "a.example", "/x/"),
                          Route("long", "a.example", "/x/y/"),
                          Route("between", "a.example", "/x/m/"),
                          Route("other", "b.example", "/x/")};
  const routing_table table(configuration);

  CHECK(table.Find("a.example", "/x/y/id").route->queue == "long");
  CHECK(table.Find("a.example", "/x/y/id").path_suffix == "id");
  CHECK(table.Find("a.example", "/x/z").route->queue == "short");
  CHECK(table.Find("b.example", "/x/y/id").route->queue == "other");
  CHECK(table.Find("a.example", "/").route == nullptr);
  CHECK(table.Find("c.example", "/x/").route == nullptr);
}

}  // namespace
}  // namespace plantainhead::core::jobs
