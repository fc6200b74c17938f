#include "slope_table.h"

#include <algorithm>
#include <cstdio>

namespace bilberryyard {

void slope_table::add(double size, std::string_view quantity, double value)
{
    auto found = std::find_if(
        m_series.begin(), m_series.end(), [&](series const& entry) { return entry.quantity == quantity; });
    if (found == m_series.end())
        found = m_series.insert(m_series.end(), { std::string(quantity), {} });
    found->points.emplace_back(size, value);
}

void slope_table::print() const
{
    std::printf("== %s against %s\n", m_title.c_str(), m_input.c_str());
    for (auto const& [quantity, points] : m_series) {
        double meanX = 0;
        double meanY = 0;
        for (auto const& [x, y] : points) {
            meanX += x / static_cast<double>(points.size());
            meanY += y / static_cast<double>(points.size());
        }
        double covariance = 0;
        double variance = 0;
        double total = 0;
        for (auto const& [x, y] : points) {
            covariance += (x - meanX) * (y - meanY);
            variance += (x - meanX) * (x - meanX);
            total += (y - meanY) * (y - meanY);
        }
        auto const slope = covariance / variance;
        auto const rSquared = total > 0 ? covariance * covariance / variance / total : 1;
        std::printf("%s\n   ", quantity.c_str());
        for (auto const& [x, y] : points)
            std::printf(" %.0f: %.5g", x, y);
        std::printf("\n    slope %.4g, intercept %.4g, r2 %.3f\n", slope, meanY - slope * meanX, rSquared);
    }
    std::fflush(stdout);
}

} // namespace bilberryyard
