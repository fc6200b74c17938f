// The program as a process on loopback addresses.
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

constexpr auto startLimit = 10s;

/// A host's process with settings and output in a folder of its own.
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
        auto const limit = std::chrono::steady_clock::now() + startLimit;
        while (output().find(text) == std::string::npos) {
            BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < limit, "no " << text << " in " << output());
            std::this_thread::sleep_for(10ms);
        }
    }

    /// Asks the process to stop and waits for its end.
    /// @return How long that took.
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
    /// A line that shows that the process runs.
    char const* started;
    /// Time that the process needs: a balancer goes on until routers have left it out (two probes at an interval of
    /// 500 ms, and packets on their way), a control host hands over leadership or finds nobody.
    std::chrono::milliseconds needed;
};
std::ostream& operator<<(std::ostream& stream, stop_row const& row) { return stream << row.role; }

stop_row const stopRows[] = {
    { "front", "daemon_started", 1'250ms },
    { "control", "member_started", 800ms },
};

// Guards against a process that no longer works but has not ended: a host that is restarted in turn with others is
// away for as long as its end takes.
BOOST_DATA_TEST_CASE(stopped_process_ends_when_its_work_is_done, stopRows, row)
{
    constexpr auto slack = 350ms;
    node_process node(row.role);
    node.waitForOutput(row.started);
    // The HTTP servers listen by then.
    std::this_thread::sleep_for(300ms);
    auto const time = node.stop();
    BOOST_TEST(time.count() <= (row.needed + slack).count());
    BOOST_TEST(node.output().find("daemon_stopped") != std::string::npos);
}

} // namespace
