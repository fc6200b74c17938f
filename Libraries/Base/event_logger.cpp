#include <Base/event_logger.h>

#include <Base/line_output.h>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sstream>
#include <unistd.h>

namespace bilberryyard {

namespace {

    log4cplus::LogLevel levelOf(log_severity severity)
    {
        switch (severity) {
        case log_severity::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case log_severity::Information:
            return log4cplus::INFO_LOG_LEVEL;
        case log_severity::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case log_severity::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    line_output& standardOutput()
    {
        static line_output output(STDOUT_FILENO);
        return output;
    }

    class bounded_appender : public log4cplus::Appender {
    public:
        explicit bounded_appender(line_output& output)
            : m_output(output)
        {
        }
        bounded_appender(bounded_appender const&) = delete;
        bounded_appender& operator=(bounded_appender const&) = delete;
        ~bounded_appender() override { destructorImpl(); }

        void close() override { closed = true; }

    protected:
        void append(log4cplus::spi::InternalLoggingEvent const& event) override { m_output.append(formatEvent(event)); }

    private:
        line_output& m_output;
    };

    void setRootAppender(log4cplus::SharedAppenderPtr const& appender, log_severity minimum)
    {
        static log4cplus::Initializer initializer;
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n"));
        auto root = log4cplus::Logger::getRoot();
        root.removeAllAppenders();
        root.addAppender(appender);
        root.setLogLevel(levelOf(minimum));
    }

} // namespace

struct event_logger::implementation {
    log4cplus::Logger logger;
};

void event_logger::configureProcess(log_severity minimum)
{
    setRootAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)), minimum);
}

void event_logger::configureBoundedOutput(log_severity minimum)
{
    setRootAppender(log4cplus::SharedAppenderPtr(new bounded_appender(standardOutput())), minimum);
}

void event_logger::flush() { standardOutput().flush(); }

event_logger::event_logger(std::string const& component)
    : m_implementation(new implementation { log4cplus::Logger::getInstance(component) })
{
}

event_logger::~event_logger() = default;

void event_logger::emit(log_event const& event, std::string_view detail) const
{
    std::ostringstream line;
    line << "event=" << event.number << " name=" << event.name;
    if (!detail.empty())
        line << ' ' << detail;
    m_implementation->logger.log(levelOf(event.severity), line.str(), __FILE__, __LINE__, "emit");
}

} // namespace bilberryyard
