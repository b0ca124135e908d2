#include "node/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>

#include <memory>

namespace nettlestand::tier {

log4cplus::Logger& logger() {
  static log4cplus::Logger instance = log4cplus::Logger::getInstance("nettlestand");
  return instance;
}

void start_logging(const std::string& level) {
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %p %m%n"));
  logger().addAppender(appender);
  logger().setAdditivity(false);
  const auto parsed = log4cplus::getLogLevelManager().fromString(level == "warning" ? "WARN"
                                                                 : level == "debug" ? "DEBUG"
                                                                 : level == "error" ? "ERROR"
                                                                                    : "INFO");
  logger().setLogLevel(parsed);
}

}  // namespace nettlestand::tier
