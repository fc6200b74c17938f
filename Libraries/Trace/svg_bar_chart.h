#pragma once

#include <compare>
#include <string>
#include <vector>

namespace bilberryyard {

/// Group of bars with one value per series, in the order of the chart's series.
struct svg_bar_group {
    std::string label;
    std::vector<double> values;
    auto operator<=>(svg_bar_group const&) const = default;
};

/// Bar charts below each other in one SVG document.
class svg_bar_chart {
public:
    /// @param series Names of the series, for the legend.
    svg_bar_chart(std::string title, std::vector<std::string> series);

    /// Adds a chart.
    /// @param title Title of the chart, with the unit of the values.
    /// @param groups Each must have a value for each series.
    void add(std::string const& title, std::vector<svg_bar_group> const& groups);

    /// @return The SVG document.
    std::string toText() const;

private:
    std::string m_title;
    std::vector<std::string> m_series;
    std::string m_body;
    int m_height;
};

} // namespace bilberryyard
