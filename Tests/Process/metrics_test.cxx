#include "Process/process.h"

#include <gmock/gmock.h>

using namespace daisystile;
using testing::HasSubstr;

TEST(metrics, handlesWithTheSameNameAndLabelsShareAMetric)
{
    metrics figures;
    figures.counter("daisystile_queries_total", "Queries.", {{"service", "a"}}).add();
    figures.counter("daisystile_queries_total", "Queries.", {{"service", "a"}}).add(2);
    figures.counter("daisystile_queries_total", "Queries.", {{"service", "b"}}).add();
    EXPECT_EQ(figures.counter("daisystile_queries_total", "Queries.", {{"service", "a"}}).value(), 3);
    EXPECT_THAT(figures.text(), HasSubstr("daisystile_queries_total{service=\"a\"} 3"));
}

TEST(metrics, showsGaugesAndHistograms)
{
    metrics figures;
    auto gauge = figures.gauge("daisystile_open", "Open requests.");
    gauge.set(5);
    gauge.add(-2);
    figures.histogram("daisystile_wait_seconds", "Wait.", {}, {0.001, 0.01}).observe(microseconds {2000});
    EXPECT_THAT(figures.text(), HasSubstr("daisystile_open 3"));
    EXPECT_THAT(figures.text(), HasSubstr("daisystile_wait_seconds_bucket{le=\"0.01\"} 1"));
    EXPECT_THAT(figures.text(), HasSubstr("daisystile_wait_seconds_bucket{le=\"0.001\"} 0"));
}

TEST(metrics, aDefaultHandleDoesNothing)
{
    metric_counter counter;
    counter.add();
    EXPECT_EQ(counter.value(), 0);
}
