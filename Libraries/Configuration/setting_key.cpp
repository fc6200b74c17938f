#include <Configuration/setting_key.h>

#include <Base/error_kind.h>
#include <Configuration/duration_text.h>
#include <algorithm>
#include <array>
#include <bit>
#include <charconv>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;
    using settings = effective_settings;
    using enum setting_scope;

    constexpr duration nanoseconds(duration value) { return value; }

    std::array<setting_key, 25> const settingKeys { {
        { "witness_count", Fleet, &settings::witnessCount, 1U, 3U,
            "Number of entry hosts that record the flows of a tracked bucket." },
        { "bucket_count", Fleet, &settings::bucketCount, 16U, 65536U,
            "Number of buckets of each service's table; a power of two." },
        { "flow_idle_timeout", Service, &settings::flowIdleTimeout, nanoseconds(1s), nanoseconds(24h),
            "Time without packets after which a TCP flow counts as closed." },
        { "datagram_idle_timeout", Service, &settings::datagramIdleTimeout, nanoseconds(1s), nanoseconds(1h),
            "Time without packets after which a datagram flow is forgotten." },
        { "lease", Fleet, &settings::lease, nanoseconds(1s), nanoseconds(60s),
            "Time without a registration after which a backend server counts as failed." },
        { "peer_lease", Fleet, &settings::peerLease, nanoseconds(100ms), nanoseconds(30s),
            "Time without a message from the planner after which a host counts itself as unsynchronised; less than "
            "peer_loss_timeout." },
        { "peer_loss_timeout", Fleet, &settings::peerLossTimeout, nanoseconds(200ms), nanoseconds(60s),
            "Time without a message after which the peers count an entry host as failed." },
        { "control_bytes_per_second", Fleet, &settings::controlBytesPerSecond, 1024U, 1048576U,
            "Budget of an entry host for control traffic." },
        { "connection_limit", Server, &settings::connectionLimit, 1U, 10000000U,
            "Open connections that one backend server admits." },
        { "slots", Server, &settings::slots, 1U, 1024U, "Requests that one backend server works on at a time." },
        { "connection_limit_watermark", Service, &settings::connectionLimitWatermark, 0.1, 1.0,
            "Share of connection_limit above which a server loses buckets." },
        { "weight", Server, &settings::weight, 0.01, 100.0,
            "Share of the buckets of a server relative to the other servers of its service." },
        { "report_weight_cap", Service, &settings::reportWeightCap, 1.0, 16.0,
            "Largest factor by which a load report changes the weight of a server, in either direction." },
        { "cold_start_seconds", Server, &settings::coldStartSeconds, 0U, 3600U,
            "Seconds over which the share of a joining server increases to its full share." },
        { "retry_after", Service, &settings::retryAfter, nanoseconds(200ms), nanoseconds(60s),
            "Time without progress after which a retransmitted SYN may go to another server." },
        { "retry_budget_share", Service, &settings::retryBudgetShare, 0.0, 1.0,
            "Retries as a share of the new flows of the service." },
        { "retry_budget_minimum", Service, &settings::retryBudgetMinimum, 0U, 100000U,
            "Retries a second that are allowed in any case." },
        { "health_sample_interval", Service, &settings::healthSampleInterval, 1U, 65536U,
            "One flow in this many is sampled for health evidence." },
        { "ejection_failure_ratio", Service, &settings::ejectionFailureRatio, 0.01, 1.0,
            "Share of failed handshakes above which a server is ejected." },
        { "ejection_minimum_handshakes", Service, &settings::ejectionMinimumHandshakes, 1U, 100000U,
            "Sampled handshakes that a server must have in the window before it can be ejected." },
        { "ejection_window", Service, &settings::ejectionWindow, nanoseconds(1s), nanoseconds(10min),
            "Window over which handshakes are counted." },
        { "ejection_maximum_share", Service, &settings::ejectionMaximumShare, 0.0, 1.0,
            "Largest share of the servers of a service that may be ejected at a time." },
        { "ejection_backoff_minimum", Service, &settings::ejectionBackoffMinimum, nanoseconds(1s), nanoseconds(10min),
            "Time until the first return of an ejected server; doubles with each ejection." },
        { "ejection_backoff_maximum", Service, &settings::ejectionBackoffMaximum, nanoseconds(1s), nanoseconds(1h),
            "Longest time until the return of an ejected server." },
        { "drain", ServerOnly, &settings::drain, false, true,
            "The server gets no new flow; set by `bilberryyard drain`." },
    } };

    std::string rangeText(setting_key const& key)
    {
        if (std::holds_alternative<bool>(key.minimum))
            return "true or false";
        return formatSettingValue(key.minimum) + " to " + formatSettingValue(key.maximum);
    }

    template <typename Number>
    bool parseNumber(std::string_view text, Number& value)
    {
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

    absl::StatusOr<setting_value> parseValueOfType(setting_key const& key, std::string_view text)
    {
        if (std::holds_alternative<duration>(key.minimum)) {
            auto const value = parseDuration(text);
            if (!value.ok())
                return value.status();
            return setting_value(*value);
        }
        uint32_t count = 0;
        double ratio = 0;
        if (std::holds_alternative<uint32_t>(key.minimum) && parseNumber(text, count))
            return setting_value(count);
        if (std::holds_alternative<double>(key.minimum) && parseNumber(text, ratio))
            return setting_value(ratio);
        if (std::holds_alternative<bool>(key.minimum) && (text == "true" || text == "false"))
            return setting_value(text == "true");
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text.substr(0, 64)) + "' is not allowed; expected " + rangeText(key));
    }

} // namespace

std::span<setting_key const> allSettingKeys() { return settingKeys; }

std::vector<std::string_view> settingNames(bool (*isAllowed)(setting_scope))
{
    std::vector<std::string_view> names;
    for (auto const& key : settingKeys) {
        if (isAllowed(key.scope))
            names.push_back(key.name);
    }
    return names;
}

setting_key const* findSettingKey(std::string_view name)
{
    auto const row
        = std::find_if(settingKeys.begin(), settingKeys.end(), [&](auto const& key) { return key.name == name; });
    return row == settingKeys.end() ? nullptr : &*row;
}

absl::Status checkSettingValue(setting_key const& key, setting_value const& value)
{
    bool const sameKind = value.index() == key.minimum.index();
    // Comparisons with NaN are false, so this form of the condition rejects it.
    if (sameKind && value >= key.minimum && value <= key.maximum)
        return absl::OkStatus();
    return makeError(
        error_kind::InvalidArgument, formatSettingValue(value) + " is out of range; allowed: " + rangeText(key));
}

absl::StatusOr<setting_value> parseSettingValue(setting_key const& key, std::string_view text)
{
    auto value = parseValueOfType(key, text);
    if (!value.ok())
        return value;
    if (auto status = checkSettingValue(key, *value); !status.ok())
        return status;
    return value;
}

std::string formatSettingValue(setting_value const& value)
{
    if (auto const* count = std::get_if<uint32_t>(&value))
        return std::to_string(*count);
    if (auto const* durationValue = std::get_if<duration>(&value))
        return formatDuration(*durationValue);
    if (auto const* flag = std::get_if<bool>(&value))
        return *flag ? "true" : "false";
    std::array<char, 32> text {};
    auto const [end, error] = std::to_chars(text.data(), text.data() + text.size(), std::get<double>(value));
    return { text.data(), end };
}

setting_value settingOf(effective_settings const& settings, setting_key const& key)
{
    return std::visit([&](auto member) { return setting_value(settings.*member); }, key.member);
}

effective_settings withSetting(effective_settings settings, setting_key const& key, setting_value const& value)
{
    std::visit(
        [&](auto member) {
            using value_type = std::remove_reference_t<decltype(settings.*member)>;
            settings.*member = std::get<value_type>(value);
        },
        key.member);
    return settings;
}

absl::Status checkSettingRules(effective_settings const& settings)
{
    if (!std::has_single_bit(settings.bucketCount))
        return makeError(error_kind::InvalidArgument, "bucket_count must be a power of two");
    if (settings.peerLease >= settings.peerLossTimeout)
        return makeError(error_kind::InvalidArgument, "peer_lease must be less than peer_loss_timeout");
    if (settings.ejectionBackoffMinimum > settings.ejectionBackoffMaximum)
        return makeError(
            error_kind::InvalidArgument, "ejection_backoff_minimum must not exceed ejection_backoff_maximum");
    return absl::OkStatus();
}

} // namespace bilberryyard
