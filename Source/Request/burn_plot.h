#pragma once

#include "burn_report.h"

#include <string>
#include <vector>

namespace daisystile {

struct plot_line
{
    std::string name;
    /// CSS class that sets the colour.
    std::string style;
    /// One value for each point; negative if the point has no value.
    std::vector<double> values;
};

struct plot
{
    std::string title;
    std::string unit;
    /// Lower end of the scale, unless a value is smaller.
    double bottom = 0;
    /// Minimum upper end of the scale; larger values extend it.
    double minTop = 1;
    /// Maximum upper end of the scale.
    double maxTop = 1e12;
    /// Objective, drawn as a dashed line if it lies within the scale.
    double objective = -1;
    std::vector<plot_line> lines;
};

/// Draws the lines over the time of the points as an HTML figure with SVG, with failure-domain changes marked.
std::string drawPlot(const plot &figure, const std::vector<burn_point> &points, const std::vector<domain_change> &changes);
/// Replaces HTML's special characters by character references.
std::string escapeHtml(const std::string &text);

} // namespace daisystile
