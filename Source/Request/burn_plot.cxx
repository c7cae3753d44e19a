#include "burn_plot.h"

#include "burn_text.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace daisystile {

// Sizes in SVG user units; the page scales the drawing to its width.
static constexpr double drawingWidth = 640;
static constexpr double drawingHeight = 220;
static constexpr double left = 56;
static constexpr double right = 12;
static constexpr double top = 14;
static constexpr double bottom = 34;
static constexpr int gridLines = 4;
static constexpr int timeLabels = 4;

std::string escapeHtml(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

namespace {

// Maps time and value to SVG coordinates.
struct scale
{
    double from = 0;
    double to = 1;
    double low = 0;
    double high = 1;

    double x(double time) const
    {
        return left + (time - from) / (to - from) * (drawingWidth - left - right);
    }

    double y(double value) const
    {
        const double share = (std::clamp(value, low, high) - low) / (high - low);
        return drawingHeight - bottom - share * (drawingHeight - top - bottom);
    }
};

} // namespace

static double midpointOf(const burn_point &point)
{
    return static_cast<double>(point.start) + point.lengthS / 2.0;
}

static scale scaleOf(const plot &figure, const std::vector<burn_point> &points)
{
    scale result;
    result.from = static_cast<double>(points.front().start);
    result.to = static_cast<double>(points.back().start + points.back().lengthS);
    result.low = figure.bottom;
    result.high = figure.minTop;
    for (const auto &line : figure.lines) {
        for (const double value : line.values) {
            result.high = std::clamp(value * 1.05, result.high, figure.maxTop);
            result.low = value >= 0 ? std::min(result.low, value) : result.low;
        }
    }
    return result;
}

static void drawGrid(std::ostream &out, const scale &axes)
{
    for (int i = 0; i <= gridLines; ++i) {
        const double value = axes.low + (axes.high - axes.low) * i / gridLines;
        const double y = axes.y(value);
        const int digits = axes.high - axes.low < 0.1 ? 4 : axes.high - axes.low < 8 ? 2 : 0;
        out << "<line class='grid' x1='" << left << "' x2='" << drawingWidth - right << "' y1='" << y << "' y2='" << y << "'/>";
        out << "<text class='axis' text-anchor='end' x='" << left - 6 << "' y='" << y + 4 << "'>" << std::setprecision(digits) << value << std::setprecision(1)
            << "</text>";
    }
    for (int i = 0; i <= timeLabels; ++i) {
        const double time = axes.from + (axes.to - axes.from) * i / timeLabels;
        const char *anchor = i == 0 ? "start" : i == timeLabels ? "end" : "middle";
        // Only the hours and minutes of a text such as "2026-12-04 09:10 UTC".
        const auto label = toText(static_cast<wall_seconds>(time)).substr(11, 5);
        out << "<text class='axis' text-anchor='" << anchor << "' x='" << axes.x(time) << "' y='" << drawingHeight - 14 << "'>" << label << "</text>";
    }
}

static void drawLine(std::ostream &out, const scale &axes, const plot_line &line, const std::vector<burn_point> &points)
{
    std::ostringstream path;
    path << std::fixed << std::setprecision(1);
    bool drawing = false;
    for (std::size_t i = 0; i < points.size(); ++i) {
        const double value = line.values[i];
        const bool gap = i > 0 && points[i].start > points[i - 1].start + points[i - 1].lengthS;
        if (value < 0) {
            drawing = false;
            continue;
        }
        path << (drawing && !gap ? "L" : "M") << axes.x(midpointOf(points[i])) << " " << axes.y(value) << " ";
        out << "<circle class='" << line.style << "' r='2' cx='" << axes.x(midpointOf(points[i])) << "' cy='" << axes.y(value) << "'/>";
        drawing = true;
    }
    out << "<path class='" << line.style << "' d='" << path.str() << "'/>";
}

static void drawDomainChanges(std::ostream &out, const scale &axes, const std::vector<domain_change> &changes)
{
    double labelY = top + 10;
    for (const auto &change : changes) {
        const auto at = static_cast<double>(change.at);
        if (at < axes.from || at > axes.to) {
            continue;
        }
        const double x = axes.x(at);
        const bool nearRight = x > drawingWidth * 0.7;
        out << "<line class='" << (change.out ? "out" : "in") << "' x1='" << x << "' x2='" << x << "' y1='" << top << "' y2='" << drawingHeight - bottom
            << "'/><text class='mark' text-anchor='" << (nearRight ? "end" : "start") << "' x='" << x + (nearRight ? -4 : 4) << "' y='" << labelY << "'>"
            << escapeHtml(change.domain.value) << (change.out ? " out" : " in") << "</text>";
        labelY += 12;
    }
}

std::string drawPlot(const plot &figure, const std::vector<burn_point> &points, const std::vector<domain_change> &changes)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<figure><figcaption>" << escapeHtml(figure.title) << ", " << escapeHtml(figure.unit);
    for (const auto &line : figure.lines) {
        out << " <span class='key " << line.style << "'>" << escapeHtml(line.name) << "</span>";
    }
    out << "</figcaption>";
    if (points.empty()) {
        out << "<p>no requests</p></figure>";
        return out.str();
    }
    const auto axes = scaleOf(figure, points);
    out << "<svg viewBox='0 0 " << drawingWidth << " " << drawingHeight << "' role='img' aria-label='" << escapeHtml(figure.title) << "'>";
    drawGrid(out, axes);
    if (figure.objective >= axes.low && figure.objective <= axes.high) {
        const double y = axes.y(figure.objective);
        out << "<line class='objective' x1='" << left << "' x2='" << drawingWidth - right << "' y1='" << y << "' y2='" << y << "'/>";
    }
    for (const auto &line : figure.lines) {
        drawLine(out, axes, line, points);
    }
    drawDomainChanges(out, axes, changes);
    out << "</svg></figure>";
    return out.str();
}

} // namespace daisystile
