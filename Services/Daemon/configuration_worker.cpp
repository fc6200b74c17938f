#include "configuration_worker.h"

#include <Base/error_kind.h>
#include <Base/hashing.h>
#include <Configuration/configuration_reader.h>
#include <Configuration/document_parser.h>
#include <Coordination/coordinated_configuration_builder.h>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <unistd.h>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 100 };

    uint64_t checksumOf(std::string const& text)
    {
        return hashBytes({ reinterpret_cast<uint8_t const*>(text.data()), text.size() }, 0);
    }

    absl::Status writeSynced(std::string const& path, std::string const& text)
    {
        auto const descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        if (descriptor < 0)
            return makeError(error_kind::Unavailable, "cannot open the file " + path);
        size_t written = 0;
        while (written < text.size()) {
            auto const count = write(descriptor, text.data() + written, text.size() - written);
            if (count <= 0)
                break;
            written += static_cast<size_t>(count);
        }
        bool const isSynced = written == text.size() && fsync(descriptor) == 0;
        close(descriptor);
        return isSynced ? absl::OkStatus() : makeError(error_kind::Unavailable, "cannot write the file " + path);
    }

} // namespace

configuration_worker::configuration_worker(std::unique_ptr<configuration_subscriber> subscriber,
    coordination_worker& coordination, std::string zone, std::string savedFile)
    : m_subscriber(std::move(subscriber))
    , m_coordination(coordination)
    , m_zone(std::move(zone))
    , m_savedFile(std::move(savedFile))
{
    loadSavedConfiguration();
    m_thread = std::make_unique<worker_thread>("configuration", [this](std::stop_token const& token) { run(token); });
}

void configuration_worker::run(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested()) {
        auto const state = static_cast<uint32_t>(m_coordination.status()->state);
        auto const response = m_subscriber->step(m_revision.load(), state, pollInterval);
        if (!response)
            continue;
        if (auto const status = apply(response->revision, response->yaml); !status.ok()) {
            m_logger.emit(events::configurationRefused, messageOf(status));
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        save(response->revision, response->yaml);
    }
}

absl::Status configuration_worker::apply(uint64_t revision, std::string const& yaml)
{
    auto const value = configuration_reader("revision " + std::to_string(revision)).read(yaml);
    if (!value.ok())
        return value.status();
    auto const* zone = value->findZone(m_zone);
    if (!zone)
        return makeError(error_kind::FailedPrecondition,
            "revision " + std::to_string(revision) + " does not contain this host's zone " + m_zone);
    auto update = std::make_shared<coordination_worker::configuration_update>();
    update->configuration = coordinatedConfigurationOf(revision, *value);
    update->zone = zone->id;
    if (!m_coordination.configurations().push(std::move(update)))
        return makeError(error_kind::ResourceExhausted, "the configuration queue of the coordination thread is full");
    m_revision.store(revision);
    return absl::OkStatus();
}

void configuration_worker::save(uint64_t revision, std::string const& yaml)
{
    if (m_savedFile.empty())
        return;
    std::ostringstream text;
    text << "# revision " << revision << " checksum " << checksumOf(yaml) << '\n' << yaml;
    auto const temporary = m_savedFile + ".new";
    auto status = writeSynced(temporary, text.str());
    if (status.ok() && std::rename(temporary.c_str(), m_savedFile.c_str()) != 0)
        status = makeError(error_kind::Unavailable, "cannot replace the saved configuration by " + temporary);
    if (!status.ok())
        m_logger.emit(events::configurationNotSaved, messageOf(status));
}

void configuration_worker::loadSavedConfiguration()
{
    if (m_savedFile.empty() || !std::filesystem::exists(m_savedFile))
        return;
    auto const text = readTextFile(m_savedFile);
    if (!text.ok())
        return m_logger.emit(events::savedConfigurationDamaged, messageOf(text.status()));
    auto const end = text->find('\n');
    std::istringstream header(text->substr(0, end));
    std::string commentMark;
    std::string revisionLabel;
    std::string checksumLabel;
    uint64_t revision = 0;
    uint64_t checksum = 0;
    header >> commentMark >> revisionLabel >> revision >> checksumLabel >> checksum;
    auto const yaml = end == std::string::npos ? std::string() : text->substr(end + 1);
    if (!header || checksum != checksumOf(yaml))
        return m_logger.emit(events::savedConfigurationDamaged, "file=" + m_savedFile + " checksum mismatch");
    if (auto const status = apply(revision, yaml); !status.ok())
        m_logger.emit(events::savedConfigurationDamaged, messageOf(status));
}

} // namespace bilberryyard
