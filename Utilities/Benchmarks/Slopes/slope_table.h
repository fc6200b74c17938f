#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Measurements of several quantities at several sizes of one input. Prints each measurement and, for each
/// quantity, the least-squares line through its measurements.
class slope_table {
public:
    /// @param title What is measured.
    /// @param input Name of the size that varies.
    slope_table(std::string title, std::string input)
        : m_title(std::move(title))
        , m_input(std::move(input))
    {
    }

    /// Adds one measurement.
    /// @param quantity Name and unit of the quantity.
    void add(double size, std::string_view quantity, double value);

    void print() const;

private:
    struct series {
        std::string quantity;
        std::vector<std::pair<double, double>> points;
    };

    std::string m_title;
    std::string m_input;
    std::vector<series> m_series;
};

} // namespace bilberryyard
