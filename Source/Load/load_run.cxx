#include "load_run.h"

#include "load_worker.h"
#include "step_runner.h"

#include <thread>

namespace daisystile {

// Lets all threads start before the first request is due.
static constexpr milliseconds startDelay {50};

load_report runLoad(const load_plan &plan)
{
    const auto before = readRecords(plan.records);
    const auto start = std::chrono::steady_clock::now() + startDelay;
    std::vector<std::unique_ptr<load_worker>> workers;
    for (unsigned i = 0; i < plan.threads; ++i) {
        workers.push_back(std::make_unique<load_worker>(plan, i, start));
    }
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (auto &worker : workers) {
        threads.emplace_back([&worker] { worker->run(); });
    }
    load_report report {load_statistics(plan), runSteps(plan, start), std::nullopt};
    for (auto &thread : threads) {
        thread.join();
    }
    for (const auto &worker : workers) {
        report.statistics.merge(worker->statistics());
    }
    const auto after = readRecords(plan.records);
    if (before && after) {
        report.records = recordsSince(*before, *after);
    }
    return report;
}

} // namespace daisystile
