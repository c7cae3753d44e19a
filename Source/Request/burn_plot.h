#pragma once

#include "burn_report.h"

#include <string>
#include <vector>

namespace daisystile {

struct plot_line
{
    std::string name;
    /// CSS class that colours it.
    std::string style;
    /// One value for each point; negative where there is none.
    std::vector<double> values;
};

struct plot
{
    std::string title;
    std::string unit;
    /// Bottom of the scale; the top follows from the values.
    double bottom = 0;
    /// Least top of the scale.
    double minTop = 1;
    /// Largest value there can be.
    double maxTop = 1e12;
    /// Drawn as a dashed line.
    double objective = -1;
    std::vector<plot_line> lines;
};

/// An SVG drawing over the points' time, failure-domain changes marked.
std::string drawPlot(const plot &figure, const std::vector<burn_point> &points, const std::vector<domain_change> &changes);
/// Text with the characters that HTML gives a meaning replaced.
std::string escapeHtml(const std::string &text);

} // namespace daisystile
