#pragma once

#include <Base/error_kind.h>
#include <absl/status/statusor.h>
#include <any>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Registry in which the services of a process find each other by name. Safe to use from several threads.
class service_directory {
public:
    /// @param name Unique name of the service.
    /// @return An error of kind Conflict when the name is already registered.
    template <typename Service>
    absl::Status add(std::string const& name, std::shared_ptr<Service> service)
    {
        std::lock_guard const lock(m_mutex);
        if (!m_services.emplace(name, std::any(std::move(service))).second)
            return makeError(error_kind::Conflict, "service " + name + " is registered already");
        return absl::OkStatus();
    }

    /// @param name The name under which the service was registered.
    /// @return The service; NotFound for an unknown name, FailedPrecondition when it was registered with another type.
    template <typename Service>
    absl::StatusOr<std::shared_ptr<Service>> find(std::string const& name) const
    {
        std::lock_guard const lock(m_mutex);
        auto const entry = m_services.find(name);
        if (entry == m_services.end())
            return makeError(error_kind::NotFound, "no service is registered under the name " + name);
        auto const* service = std::any_cast<std::shared_ptr<Service>>(&entry->second);
        if (!service)
            return makeError(error_kind::FailedPrecondition, "service " + name + " is registered with another type");
        return *service;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::any> m_services;
};

} // namespace bilberryyard
