#pragma once

#include "seeded_random.h"
#include <Base/error_kind.h>
#include <Consensus/file_system.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

/// An in-memory file system that tracks what is synced, loses the rest on a simulated power failure and injects errors.
class memory_file_system {
    struct node {
        std::string content;
        std::string durable;
    };
    using folder = std::map<std::string, std::shared_ptr<node>>;

public:
    class file {
    public:
        file(memory_file_system& files, std::shared_ptr<node> target)
            : m_files(&files)
            , m_target(std::move(target))
        {
        }
        absl::Status append(std::string_view bytes)
        {
            if (m_files->fails()) {
                m_target->content += bytes.substr(0, bytes.size() / 2);
                return m_files->failure();
            }
            m_target->content += bytes;
            return absl::OkStatus();
        }
        absl::Status sync()
        {
            if (m_files->fails())
                return m_files->failure();
            m_target->durable = m_target->content;
            return absl::OkStatus();
        }

    private:
        memory_file_system* m_files;
        std::shared_ptr<node> m_target;
    };

    class lock {
    public:
        lock(std::shared_ptr<std::set<std::string>> locks, std::string path)
            : m_locks(std::move(locks))
            , m_path(std::move(path))
        {
        }
        lock(lock&&) = default;
        lock& operator=(lock&&) = default;
        ~lock()
        {
            if (m_locks)
                m_locks->erase(m_path);
        }

    private:
        std::shared_ptr<std::set<std::string>> m_locks;
        std::string m_path;
    };

    /// After `operations` more operations, every operation fails as on a full disk until recover().
    void failAfter(uint64_t operations) { m_operationsLeft = operations; }
    void recover() { m_operationsLeft.reset(); }

    /// Loses unsynced changes, except for a random part: the first creations, renames and removals of files, in order,
    /// and a prefix of the appended content, whose end may read as zeroes.
    void losePower(seeded_random& random)
    {
        auto const kept = random.below(m_pendingNames.size() + 1);
        for (uint64_t i = 0; i < kept; ++i)
            m_pendingNames[i](m_durableNames);
        m_pendingNames.clear();
        m_names = m_durableNames;
        for (auto& [path, target] : m_names)
            tear(*target, random);
    }

    void loseDisk() { *this = memory_file_system(); }

    /// Returns the content of a file for tests that damage it.
    std::string& contentOf(std::string const& path) { return m_names.at(path)->content; }
    std::vector<std::string> paths() const
    {
        std::vector<std::string> result;
        for (auto const& [path, target] : m_names)
            result.push_back(path);
        return result;
    }

    absl::Status createFolder(std::string const&) { return absl::OkStatus(); }

    absl::StatusOr<std::vector<std::string>> list(std::string const& path)
    {
        std::vector<std::string> names;
        for (auto const& [name, target] : m_names) {
            if (name.starts_with(path + "/"))
                names.push_back(name.substr(path.size() + 1));
        }
        return names;
    }

    absl::StatusOr<std::string> read(std::string const& path)
    {
        auto const found = m_names.find(path);
        if (found == m_names.end())
            return bilberryyard::makeError(bilberryyard::error_kind::NotFound, path);
        return found->second->content;
    }

    absl::Status write(std::string const& path, std::string_view bytes)
    {
        auto target = std::make_shared<node>();
        change([=](folder& names) { names[path] = target; });
        file output(*this, target);
        if (auto status = output.append(bytes); !status.ok())
            return status;
        return output.sync();
    }

    absl::Status rename(std::string const& from, std::string const& to)
    {
        if (fails())
            return failure();
        change([=](folder& names) {
            names[to] = names.at(from);
            names.erase(from);
        });
        return absl::OkStatus();
    }

    absl::Status remove(std::string const& path)
    {
        if (fails())
            return failure();
        change([=](folder& names) { names.erase(path); });
        return absl::OkStatus();
    }

    absl::Status truncate(std::string const& path, uint64_t size)
    {
        if (fails())
            return failure();
        auto& target = *m_names.at(path);
        target.content.resize(size);
        target.durable = target.content;
        return absl::OkStatus();
    }

    absl::Status syncFolder(std::string const&)
    {
        if (fails())
            return failure();
        m_durableNames = m_names;
        m_pendingNames.clear();
        return absl::OkStatus();
    }

    absl::StatusOr<file> openForAppend(std::string const& path)
    {
        if (fails())
            return failure();
        if (!m_names.contains(path))
            change([path, target = std::make_shared<node>()](folder& names) { names[path] = target; });
        return file(*this, m_names.at(path));
    }

    absl::StatusOr<lock> acquireLock(std::string const& path)
    {
        if (!m_locks->insert(path).second)
            return bilberryyard::makeError(bilberryyard::error_kind::FailedPrecondition, path + " is locked");
        return lock(m_locks, path);
    }

private:
    bool fails()
    {
        if (!m_operationsLeft)
            return false;
        if (*m_operationsLeft == 0)
            return true;
        --*m_operationsLeft;
        return false;
    }

    absl::Status failure() const
    {
        return bilberryyard::makeError(bilberryyard::error_kind::ResourceExhausted, "no space left on device");
    }

    void change(std::function<void(folder&)> operation)
    {
        operation(m_names);
        m_pendingNames.push_back(std::move(operation));
    }

    static void tear(node& target, seeded_random& random)
    {
        if (target.content.size() > target.durable.size()) {
            auto const unsynced = target.content.size() - target.durable.size();
            target.content.resize(target.durable.size() + random.below(unsynced + 1));
            // The file length may reach the disk before the content.
            if (target.content.size() > target.durable.size() && random.chance(30)) {
                auto const zeroes = random.below(target.content.size() - target.durable.size()) + 1;
                target.content.replace(target.content.size() - zeroes, zeroes, zeroes, '\0');
            }
        } else {
            target.content = target.durable;
        }
        target.durable = target.content;
    }

    folder m_names;
    folder m_durableNames;
    std::vector<std::function<void(folder&)>> m_pendingNames;
    std::shared_ptr<std::set<std::string>> m_locks = std::make_shared<std::set<std::string>>();
    std::optional<uint64_t> m_operationsLeft;
};

static_assert(bilberryyard::file_system<memory_file_system>);
