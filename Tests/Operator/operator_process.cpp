#include "operator_process.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bilberryyard::test {

namespace {

    std::string makeTemporaryFolder()
    {
        auto path = (std::filesystem::temp_directory_path() / "bilberryyard-operator-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(path.data()) != nullptr);
        return path;
    }

    std::string contentsOf(std::string const& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    std::vector<char*> pointersTo(std::vector<std::string>& texts)
    {
        std::vector<char*> pointers;
        for (auto& text : texts)
            pointers.push_back(text.data());
        pointers.push_back(nullptr);
        return pointers;
    }

} // namespace

operator_process::operator_process(std::vector<std::string> arguments, std::vector<std::string> environment)
    : m_folder(makeTemporaryFolder())
{
    arguments.insert(arguments.begin(), BILBERRYYARD_PROGRAM);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, (m_folder + "/output").c_str(), O_CREAT | O_WRONLY, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, (m_folder + "/errors").c_str(), O_CREAT | O_WRONLY, 0600);
    int const error = posix_spawn(&m_process, BILBERRYYARD_PROGRAM, &actions, nullptr, pointersTo(arguments).data(),
        pointersTo(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    BOOST_REQUIRE_EQUAL(error, 0);
}

process_outcome operator_process::wait()
{
    int status = 0;
    BOOST_REQUIRE_EQUAL(waitpid(m_process, &status, 0), m_process);
    process_outcome const outcome { WIFEXITED(status) ? WEXITSTATUS(status) : -1, contentsOf(m_folder + "/output"),
        contentsOf(m_folder + "/errors") };
    std::filesystem::remove_all(m_folder);
    return outcome;
}

process_outcome runOperator(std::vector<std::string> const& arguments)
{
    return operator_process(arguments, { "BILBERRYYARD_AUTHOR=ana" }).wait();
}

std::string temporaryFile(std::string const& text)
{
    struct folder {
        std::string path = makeTemporaryFolder();
        int files = 0;
        ~folder() { std::filesystem::remove_all(path); }
    };
    static folder shared;
    auto const path = shared.path + "/" + std::to_string(shared.files++) + ".yaml";
    std::ofstream(path) << text;
    return path;
}

} // namespace bilberryyard::test
