#include "plantainhead/observe/logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cerrno>
#include <fstream>
#include <memory>
#include <system_error>

#include "observe/line_queue.h"
#include "observe/log_line.h"

namespace plantainhead::observe {
namespace {

constexpr char kLoggerName[] = "plantainhead";

struct process_log {
  core::log_severity level;
  std::unique_ptr<line_queue> queue;
};

// Null while there is no log.
std::unique_ptr<process_log>& Current() {
  static std::unique_ptr<process_log> log;
  return log;
}

log4cxx::AppenderPtr MakeAppender(const std::string& file) {
  // The line is whole JSON by now; the layout only ends it.
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  if (file == "-") {
    return std::make_shared<log4cxx::ConsoleAppender>(layout);
  }
  // log4cxx only prints a warning when it can't open a file, and every line
  // would be lost.
  if (!std::ofstream(file, std::ios::app)) {
    throw std::system_error(errno, std::generic_category(), "log file " + file);
  }
  constexpr bool kAppend = true;
  return std::make_shared<log4cxx::FileAppender>(layout, file, kAppend);
}

std::string DescribeDropped(std::uint64_t dropped) {
  return MakeLogLine(std::chrono::system_clock::now(),
                     core::log_severity::kWarning,
                     "log lines were dropped: their reader is too slow",
                     {{"dropped", std::to_string(dropped)}});
}

}  // namespace

void ConfigureLogging(core::log_severity level, const std::string& file) {
  StopLogging();
  const log4cxx::AppenderPtr appender = MakeAppender(file);
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(kLoggerName);
  logger->setAdditivity(false);
  logger->setLevel(log4cxx::Level::getAll());
  logger->removeAllAppenders();
  logger->addAppender(appender);
  auto log = std::make_unique<process_log>();
  log->level = level;
  log->queue = std::make_unique<line_queue>(
      kLogBacklog,
      [logger](const std::string& line) {
        logger->forcedLog(log4cxx::Level::getInfo(), line);
      },
      DescribeDropped);
  Current() = std::move(log);
}

void WriteLog(core::log_severity level,
              std::string_view message,
              const log_fields& fields) {
  const std::unique_ptr<process_log>& log = Current();
  if (log == nullptr || level < log->level) {
    return;
  }
  log->queue->Push(
      MakeLogLine(std::chrono::system_clock::now(), level, message, fields));
}

void WriteLog(const core::write_log_message& note) {
  WriteLog(note.level, note.message, note.fields);
}

void StopLogging() {
  Current().reset();
}

}  // namespace plantainhead::observe
