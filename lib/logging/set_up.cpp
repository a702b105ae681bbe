#include <guavastair/logging.hpp>

#include <absl/strings/str_cat.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <fstream>
#include <memory>

namespace guavastair::logging {

namespace {

constexpr std::array<absl::string_view, 3> channel_names{"process", "decision",
                                                         "control"};

constexpr std::array<log4cplus::LogLevel, 6> log4cplus_levels{
    log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
    log4cplus::INFO_LOG_LEVEL,  log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL, log4cplus::OFF_LOG_LEVEL};

/// The loggers of all channels, obtained once.
class logger_table {
public:
    logger_table() {
        for (std::size_t i = 0; i < channel_names.size(); ++i) {
            const std::string name =
                absl::StrCat("guavastair.", channel_names[i]);
            this->loggers[i] = log4cplus::Logger::getInstance(name);
        }
    }

    log4cplus::Logger& of(channel which) {
        return this->loggers[static_cast<std::size_t>(which)];
    }

private:
    std::array<log4cplus::Logger, channel_names.size()> loggers;
};

log4cplus::LogLevel to_log4cplus(level value) {
    return log4cplus_levels[static_cast<std::size_t>(value)];
}

logger_table& loggers() {
    static log4cplus::Initializer initializer;
    static logger_table table;
    return table;
}

log4cplus::SharedAppenderPtr make_appender(const options& settings) {
    if (settings.file.empty()) {
        return log4cplus::SharedAppenderPtr(
            new log4cplus::ConsoleAppender(true, true));
    }
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(settings.file, std::ios_base::app));
}

bool can_append_to(const std::string& path) {
    std::ofstream file(path, std::ios_base::app);
    return file.good();
}

} // namespace

absl::string_view to_string(channel value) {
    return channel_names[static_cast<std::size_t>(value)];
}

absl::Status set_up(const options& settings) {
    logger_table& table = loggers();
    if (!settings.file.empty() && !can_append_to(settings.file)) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("log file \"", settings.file, "\" cannot be opened"));
    }
    const std::string pattern = absl::StrCat(
        "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p node=", settings.node.value,
        " logger=%c %m%n");
    log4cplus::SharedAppenderPtr appender = make_appender(settings);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));

    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(settings.general));
    table.of(channel::process).setLogLevel(to_log4cplus(settings.general));
    table.of(channel::control).setLogLevel(to_log4cplus(settings.general));
    table.of(channel::decision).setLogLevel(to_log4cplus(settings.decisions));
    return absl::OkStatus();
}

void shut_down() {
    loggers();
    log4cplus::Logger::getRoot().removeAllAppenders();
}

bool is_enabled(channel target, level severity) {
    return loggers().of(target).isEnabledFor(to_log4cplus(severity));
}

void write(channel target, level severity, const line& content) {
    log4cplus::Logger& logger = loggers().of(target);
    const log4cplus::LogLevel log4cplus_level = to_log4cplus(severity);
    if (!logger.isEnabledFor(log4cplus_level)) {
        return;
    }
    logger.forcedLog(log4cplus_level, content.text());
}

} // namespace guavastair::logging
