#include <Trace/svg_bar_chart.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr int width = 900;
    constexpr int labelWidth = 170;
    constexpr int barHeight = 9;
    constexpr int groupGap = 6;
    constexpr int valueWidth = 80;
    constexpr int headHeight = 60;
    // Distinguishable with the common forms of colour blindness (Okabe and Ito, 2008).
    constexpr std::array<char const*, 4> colours { "#0072b2", "#e69f00", "#009e73", "#cc79a7" };

    std::string escaped(std::string const& text)
    {
        std::string result;
        for (auto const letter : text) {
            if (letter == '<')
                result += "&lt;";
            else if (letter == '&')
                result += "&amp;";
            else
                result += letter;
        }
        return result;
    }

    std::string textAt(int x, int y, int size, std::string const& text)
    {
        std::ostringstream output;
        output << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"" << size << "\">" << escaped(text)
               << "</text>\n";
        return output.str();
    }

    std::string barAt(int x, int y, double length, size_t series)
    {
        std::ostringstream output;
        output << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << length << "\" height=\"" << barHeight - 1
               << "\" fill=\"" << colours[series % colours.size()] << "\"/>\n";
        return output.str();
    }

} // namespace

svg_bar_chart::svg_bar_chart(std::string title, std::vector<std::string> series)
    : m_title(std::move(title))
    , m_series(std::move(series))
    , m_height(headHeight)
{
}

void svg_bar_chart::add(std::string const& title, std::vector<svg_bar_group> const& groups)
{
    double largest = 0;
    for (auto const& group : groups) {
        for (auto const value : group.values)
            largest = std::max(largest, value);
    }
    m_body += textAt(10, m_height + 14, 13, title);
    m_height += 24;
    for (auto const& group : groups) {
        m_body += textAt(10, m_height + barHeight + 2, 11, group.label);
        for (size_t series = 0; series < group.values.size(); ++series) {
            auto const value = group.values[series];
            auto const length = largest > 0 ? value / largest * (width - labelWidth - valueWidth) : 0;
            std::ostringstream label;
            label << value;
            m_body += barAt(labelWidth, m_height, length, series);
            m_body += textAt(labelWidth + static_cast<int>(length) + 4, m_height + barHeight - 1, 9, label.str());
            m_height += barHeight;
        }
        m_height += groupGap;
    }
    m_height += 10;
}

std::string svg_bar_chart::toText() const
{
    std::ostringstream output;
    output << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << m_height
           << "\" font-family=\"sans-serif\">\n"
           << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
           << textAt(10, 22, 16, m_title);
    for (size_t series = 0; series < m_series.size(); ++series) {
        auto const x = 10 + static_cast<int>(series) * 160;
        output << barAt(x, 36, 12, series) << textAt(x + 18, 44, 11, m_series[series]);
    }
    output << m_body << "</svg>\n";
    return output.str();
}

} // namespace bilberryyard
