// Tests of the program as a process on loopback addresses.
#include <OperatorInterface/http_client.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;

constexpr auto startTimeout = 10s;

/// The process of a host, with its settings and output in a temporary folder.
class node_process {
public:
    explicit node_process(std::string const& role)
    {
        m_folder = (std::filesystem::temp_directory_path() / "bilberryyard-node-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(m_folder.data()) != nullptr);
        std::ofstream(m_folder + "/node.toml") << settingsFor(role);
        std::string program = BILBERRYYARD_NODE_PROGRAM;
        std::string settings = "BILBERRYYARD_BOOT=" + m_folder + "/node.toml";
        char* arguments[] = { program.data(), nullptr };
        char* environment[] = { settings.data(), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, (m_folder + "/output").c_str(), O_CREAT | O_WRONLY, 0600);
        int const error = posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environment);
        posix_spawn_file_actions_destroy(&actions);
        BOOST_REQUIRE_EQUAL(error, 0);
    }
    node_process(node_process const&) = delete;
    node_process& operator=(node_process const&) = delete;
    ~node_process()
    {
        if (m_process > 0) {
            kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
        }
        std::filesystem::remove_all(m_folder);
    }

    std::string output() const
    {
        std::ifstream file(m_folder + "/output");
        return { std::istreambuf_iterator<char>(file), {} };
    }

    void waitForOutput(std::string const& text) const
    {
        auto const deadline = std::chrono::steady_clock::now() + startTimeout;
        while (output().find(text) == std::string::npos) {
            BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < deadline, "no " << text << " in " << output());
            std::this_thread::sleep_for(10ms);
        }
    }

    /// @return The largest resident memory of the process so far, in bytes.
    size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6)) * 1024;
        }
        return 0;
    }

    /// Sends SIGTERM and waits until the process has exited with status 0.
    /// @return The time until the exit.
    std::chrono::milliseconds stop()
    {
        auto const startedAt = std::chrono::steady_clock::now();
        BOOST_REQUIRE_EQUAL(kill(m_process, SIGTERM), 0);
        int status = 0;
        BOOST_REQUIRE_EQUAL(waitpid(m_process, &status, 0), m_process);
        m_process = -1;
        BOOST_TEST(WIFEXITED(status));
        BOOST_TEST(WEXITSTATUS(status) == 0);
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
    }

private:
    std::string settingsFor(std::string const& role) const
    {
        return "Node = \"host-1\"\nZone = \"a\"\nIp = \"127.88.3.1\"\nPeerPortRange = [28121, 28122]\n"
               "Seeds = [\"127.88.3.1:28123\"]\nBootstrap = true\nServes = [\""
            + role + "\"]\nHeartbeatMs = 1000\nDataDir = \"" + m_folder
            + "/data\"\n[Listen]\nDataAddr = \"127.88.3.1:28124\"\nReady = \"127.88.3.1:28125\"\n"
              "Control = \"127.88.3.1:28123\"\n[FaultTolerance]\nMachines = 1\n[Bounds]\nGraceS = 6\n";
    }

    std::string m_folder;
    pid_t m_process = -1;
};

struct stop_row {
    char const* role;
    /// Log event that shows that the process has started.
    char const* startedEvent;
    /// Time that the process needs to stop. A balancer keeps forwarding until routers have stopped sending to it, after
    /// two probes at an interval of 500 ms and the packets in flight. A control host tries to transfer leadership.
    std::chrono::milliseconds stopDuration;
};
std::ostream& operator<<(std::ostream& stream, stop_row const& row) { return stream << row.role; }

stop_row const stopRows[] = {
    { "front", "daemon_started", 1'250ms },
    { "control", "member_started", 800ms },
};

// Guards against a process that exits late after its work is done: in a rolling restart the host is down until the
// exit.
BOOST_DATA_TEST_CASE(stopped_process_ends_when_its_work_is_done, stopRows, row)
{
    constexpr auto tolerance = 350ms;
    node_process node(row.role);
    node.waitForOutput(row.startedEvent);
    // Give the HTTP servers time to listen.
    std::this_thread::sleep_for(300ms);
    auto const elapsed = node.stop();
    BOOST_TEST(elapsed.count() <= (row.stopDuration + tolerance).count());
    BOOST_TEST(node.output().find("daemon_stopped") != std::string::npos);
}

struct body_row {
    char const* name;
    char const* path;
    std::string body;
};
std::ostream& operator<<(std::ostream& stream, body_row const& row) { return stream << row.name; }

body_row const largeBodyRows[] = {
    { "nested heartbeat", "/Instances.Heartbeat/i-1", std::string(4'000'000, '[') },
    { "nested leave", "/Instances.Leave/i-1", std::string(4'000'000, '[') },
    { "nested configuration", "/Config.Put", std::string(4'000'000, '[') },
    { "wide heartbeat", "/Instances.Heartbeat/i-1", "{" + std::string(4'000'000, ',') },
};

// Guards against a call of any other program that makes a control host exceed its memory.
BOOST_DATA_TEST_CASE(large_bodies_take_no_multiple_of_their_size, largeBodyRows, row)
{
    constexpr size_t copies = 8;
    node_process node("control");
    node.waitForOutput("member_started");
    std::this_thread::sleep_for(300ms);
    auto const before = node.peakMemory();
    bilberryyard::http_request const request { "POST", row.path, {}, {}, row.body };
    bilberryyard::endpoint const control { *bilberryyard::ip_address::parse("127.88.3.1"), 28'123 };
    auto const exchange = bilberryyard::exchangeHttp(control, request, 5s);
    // A server that refuses a body without reading it may reset the connection before its response is read.
    if (exchange.response.ok())
        BOOST_TEST(exchange.response->status / 100 == 4);
    BOOST_TEST(node.peakMemory() - before <= copies * row.body.size());
    node.stop();
}

} // namespace
