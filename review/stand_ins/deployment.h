#ifndef PLANTAINHEAD_REVIEW_STAND_INS_DEPLOYMENT_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "record.h"
#include "runner.h"
#include "site_store.h"
#include "soak/fault_proxy.h"

namespace plantainhead::review {

/// One route of the operator's configuration.
struct route {
  std::string queue;
  std::string service;
  std::uint32_t max_attempts = 2;
};

/// One plantain-scheduler, started with the command of the deploy file.
struct node {
  std::string name;
  std::string settings;
  std::string log;
  std::string front;
  std::string ready;
  pid_t pid = 0;
};

/// What a client got for a request. Status 0: no answer.
struct answer {
  unsigned status = 0;
  std::string body;
};

/// A small deployment on loopback: three schedulers as separate processes, and
/// in this process the platform's store, its list of machines, the runners and
/// the clients. Not thread-safe.
class deployment {
 public:
  /// `scheduler` is the program of the deploy file, `directory` a temporary
  /// folder for settings and logs.
  deployment(const std::string& scheduler,
             const std::string& directory,
             const std::string& record_file);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  ~deployment();

  /// Writes a configuration as the operator does; each has a higher version.
  void Configure(const std::vector<std::string>& services,
                 const std::vector<route>& routes);
  runner& AddRunner(const std::string& service);
  /// Begins another life of the runner's machine, under a new id.
  void Restart(runner* of);
  /// Starts all nodes. Returns false if one is not ready in time.
  bool StartNodes(int count);
  void StartNode(node* of);
  void Kill(node* of);
  /// Sends SIGTERM, and SIGKILL if the process has not ended after `grace_s`.
  void Terminate(node* of);
  /// Returns the node that holds the group's partition at this place; null if
  /// there is none.
  node* Holder(std::uint32_t position);

  void RunFor(std::chrono::milliseconds time);
  /// Returns false if it does not become true in time.
  bool RunUntil(const std::function<bool()>& is_true,
                std::chrono::milliseconds time);

  /// Asks for an upkeep of all runners' machines, at most one at a time.
  void BeginWave(int duration_s);
  /// Returns whether the system says that the wave is completed.
  bool IsWaveCompleted() const;

  /// Sends one request to a node, as a client, and waits for its answer.
  answer Call(const node& to,
              net::method verb,
              const std::string& target,
              const std::string& body = "");
  /// Sends a submission and does not wait for its answer.
  void SubmitInBackground(const node& to,
                          const std::string& queue,
                          const std::string& id,
                          const nlohmann::json& job);
  /// Hands the job in, as often as a client does, until it is accepted.
  bool Submit(const std::string& queue,
              const std::string& id,
              const nlohmann::json& job);
  /// Asks the nodes in turn for the job's state, until one answers with 200.
  /// Returns an empty string if none does in time.
  std::string StateOf(const std::string& queue,
                      const std::string& id,
                      std::chrono::milliseconds time);

  boost::asio::io_context context;
  record log;
  run_history history;
  fakes::site_store store;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<runner>> runners;
  /// The platform carries out the next order for upkeep, and its connection is
  /// reset before the answer.
  bool loses_upkeep_answer = false;
  /// The store carries out the appends of this job this much later, and does
  /// not answer them; empty for none.
  std::string late_job;
  std::chrono::milliseconds append_delay{0};
  /// When the last of them was carried out.
  std::int64_t last_late_append_ms = 0;
  /// How many appends arrived at the store.
  std::size_t appends = 0;

 private:
  void HandleStore(const net::server_request& request,
                   const net::responder& respond);
  void HandleCloud(const net::server_request& request,
                   const net::responder& respond);
  void Every(std::chrono::milliseconds gap,
             const std::function<void()>& action);
  void Upkeep(runner* of, const net::responder& respond);
  /// Begins the machine's next life after this time.
  void BeginLater(runner* of,
                  const std::string& service,
                  std::chrono::milliseconds time);
  std::string NextRunnerId();

  std::string scheduler_;
  std::string directory_;
  std::string store_address_;
  std::string cloud_address_;
  std::unique_ptr<net::http_server> store_server_;
  std::unique_ptr<net::http_server> cloud_server_;
  std::uint64_t version_ = 0;
  int last_runner_ = 0;
  /// The state of a machine that is away: "moving" or "upkeep".
  std::map<std::string, std::string> away_;
  std::set<std::string> had_upkeep_;
  std::unique_ptr<soak::fault_proxy> cloud_proxy_;
};

/// Returns a free loopback address.
std::string FreeAddress();

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_DEPLOYMENT_H_
