#ifndef PLANTAINHEAD_REVIEW_STAND_INS_3_SITE_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_3_SITE_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "runner.h"
#include "site_store.h"

namespace plantainhead::review {

/// A queue of the operator's configuration.
struct queue {
  std::string name;
  std::string service;
  int max_attempts = 2;
};

/// One machine of a pool and, while it is up, its runner.
struct machine {
  std::string name;
  std::string pool;
  std::string kind;
  std::string rack;
  std::string address;
  std::string state = "up";
  std::unique_ptr<runner> life;
};

/// One `plantain-scheduler`, started with the command of the deploy file.
struct scheduler {
  std::string name;
  std::string settings;
  std::string callers;
  pid_t pid = 0;
  /// How often the process has ended by itself.
  int ends = 0;
  std::unique_ptr<net::http_client> client;
};

struct site_options {
  std::string program;
  std::string directory;
  std::string record;
};

/// A small deployment on loopback: the scheduler processes, and stand-ins for
/// the platform's store, its list of machines, the runners and the clients. It
/// writes what is sent, answered and run to the record. Not thread-safe.
class site {
 public:
  using reply_handler = std::function<void(const net::client_reply&)>;
  /// Is told the task, the machine, and whether the task was at work.
  using stop_listener = std::function<void(const std::string& task,
                                           const std::string& where,
                                           bool was_at_work)>;

  explicit site(const site_options& options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  /// Ends all processes that it has started.
  ~site();

  // The deployment, before `Start`.
  void AddQueue(const queue& added);
  /// Adds machines of the kind, and returns the name of the last one.
  std::string AddMachines(const std::string& pool,
                          int count,
                          const std::string& kind);
  /// Adds the spare pool, whose machines are off.
  void AddSparePool(const std::string& pool, int count);
  /// Starts the stand-ins and `count` schedulers.
  void Start(int count);
  /// From now on, ends each scheduler that exceeds the memory of its machine,
  /// and starts it again, as the platform does.
  void EnforceMemoryLimit();
  /// From now on, starts each scheduler again that ends by itself.
  void RestartEnded();

  // Time.
  /// Calls `action` after `time`.
  void After(std::chrono::milliseconds time, std::function<void()> action);
  /// Runs the site until `is_done` returns true or the time is over. Returns
  /// whether it was done.
  bool RunUntil(std::chrono::milliseconds limit,
                const std::function<bool()>& is_done);
  void RunFor(std::chrono::milliseconds time);

  // Clients.
  void Call(std::size_t scheduler,
            net::method verb,
            const std::string& queue,
            const std::string& id,
            const std::string& body,
            const reply_handler& on_reply);
  /// Submits a job once. Returns the status, or 0 if there is no answer.
  unsigned Post(std::size_t scheduler,
                const std::string& queue,
                const std::string& id,
                const std::string& body);
  /// Submits a job and repeats the request at other nodes until it is accepted.
  /// Returns whether it was accepted in time.
  bool Submit(const std::string& queue,
              const std::string& id,
              const std::string& body);
  /// Returns the state that a GET gives, asking the nodes in turn, or nothing
  /// if none gave one in time.
  std::optional<std::string> StateOf(const std::string& queue,
                                     const std::string& id);
  /// Returns whether a node answers that it is ready for callers.
  bool IsServing(const std::string& queue);

  // Runners.
  /// Ends the runner of the machine, and all that runs there. Calls find no
  /// listener.
  void Crash(const std::string& name);
  /// Starts a runner with a new id on the machine.
  void Boot(const std::string& name);
  /// Calls `listener` at each stop of a task that runs.
  void OnStop(const stop_listener& listener);
  std::size_t RunningTasksOf(const std::string& job) const;

  void Note(const std::string& line);

  boost::asio::io_context context;
  std::vector<scheduler> schedulers;
  /// By pool and job: how often tasks have started, and ended in each way.
  std::map<std::pair<std::string, std::string>, std::map<std::string, int>>
      runs;
  /// How often each task has started.
  std::map<std::string, int> starts;
  /// Appends that the store has rejected since a record or a call was larger
  /// than it takes.
  int oversized_appends = 0;
  /// How often a scheduler exceeded its memory.
  int memory_kills = 0;
  /// The most memory that a scheduler held.
  std::uint64_t largest_bytes = 0;

 private:
  void StartStore();
  void StartCloud();
  void HandleStore(const net::server_request& request,
                   const net::responder& respond);
  void HandleCloud(const net::server_request& request,
                   const net::responder& respond);
  net::server_response Move(const nlohmann::json& body);
  /// Ends the move of the machine.
  void Arrive(const std::string& name);
  void Heartbeat();
  void Report(const machine& reported);
  std::string Configuration() const;
  void StartScheduler(scheduler* started) const;
  void OnRun(const std::string& pool,
             const std::string& where,
             const std::string& task,
             std::uint32_t run,
             const std::string& how);

  site_options options_;
  stop_listener on_stop_;
  std::ofstream record_;
  std::chrono::steady_clock::time_point began_at_ =
      std::chrono::steady_clock::now();
  fakes::site_store store_;
  std::string store_address_;
  std::string cloud_address_;
  std::unique_ptr<net::http_server> store_server_;
  std::unique_ptr<net::http_server> cloud_server_;
  std::vector<queue> queues_;
  /// The pools, and whether each is a spare one.
  std::map<std::string, bool> pools_;
  std::map<std::string, machine> machines_;
  int last_runner_ = 0;
  int beats_ = 0;
};

/// Returns the id of a job by its number.
std::string JobId(int number);

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_3_SITE_H_
