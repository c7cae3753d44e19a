#include "config_writer.h"

namespace daisystile {

namespace {

constexpr milliseconds changeTimeout {8000};
constexpr std::uint64_t retainedServiceRecords = 10;
constexpr std::uint64_t retainedRecords = 100;
constexpr std::uint64_t changesBetweenPrunings = 10;

std::uint64_t retainedRecordsOf(config_kind kind)
{
    return kind == config_kind::service ? retainedServiceRecords : retainedRecords;
}

} // namespace

config_writer::config_writer(reactor &loop, platform_client &platform)
    : m_loop(loop),
      m_platform(platform)
{
}

void config_writer::apply(change_request request, std::function<void(change_outcome)> done)
{
    m_queue.push_back({std::move(request), std::move(done)});
    startNext();
}

void config_writer::startNext()
{
    if (m_current || m_queue.empty()) {
        return;
    }
    m_current = std::make_unique<change_acceptance>(m_queue.front().request, m_loop.now() + changeTimeout);
    handle(change_started {});
}

void config_writer::handle(const change_event &event)
{
    perform(m_current->decide(event, m_loop.now()));
}

void config_writer::perform(change_action action)
{
    if (const auto *read = std::get_if<read_object>(&action)) {
        m_platform.get(read->key, [this](const read_result &result) { handle(result); });
    } else if (auto *write = std::get_if<write_object>(&action)) {
        m_platform.put(write->key, std::move(write->value), write->condition, [this](const write_result &result) { handle(result); });
    } else if (const auto *wait = std::get_if<wait_before_retry>(&action)) {
        m_loop.after(wait->delay, [this] { handle(retry_due {}); });
    } else {
        finish(std::move(std::get<change_outcome>(action)));
    }
}

void config_writer::finish(change_outcome outcome)
{
    const auto done = std::move(m_queue.front().done);
    m_queue.pop_front();
    m_current.reset();
    const auto *accepted = std::get_if<change_accepted>(&outcome);
    if (accepted != nullptr && !accepted->resent) {
        prune(accepted->record);
    }
    done(std::move(outcome));
    startNext();
}

// Listing is the most expensive call of the platform, so it is made only once in several changes. Records that outlive
// the retained history do no harm.
void config_writer::prune(const config_record &newest)
{
    const bool due = newest.version.value > retainedRecordsOf(newest.object.kind) && newest.version.value % changesBetweenPrunings == 0;
    if (!due) {
        return;
    }
    m_platform.list(recordPrefix(newest.object), read_freshness::newest, [this, newest](const list_result &result) {
        const auto *list = std::get_if<object_list>(&result);
        if (list == nullptr) {
            return;
        }
        for (const auto &key : expiredRecords(newest, list->objects)) {
            m_platform.remove(key, always {}, [](const remove_result &) {});
        }
    });
}

std::vector<std::string> expiredRecords(const config_record &newest, const std::vector<platform_object> &stored)
{
    std::vector<std::string> keys;
    for (const auto &object : stored) {
        const auto record = parseRecord(object.value);
        const auto *found = std::get_if<config_record>(&record);
        if (found != nullptr && found->version.value + retainedRecordsOf(newest.object.kind) <= newest.version.value) {
            keys.push_back(object.key);
        }
    }
    return keys;
}

std::vector<config_record> acceptedRecords(const config_head &head, const config_object &object, const std::vector<platform_object> &stored)
{
    std::map<change_id, config_record> records;
    for (const auto &value : stored) {
        auto record = parseRecord(value.value);
        if (auto *found = std::get_if<config_record>(&record)) {
            const auto change = found->change;
            records[change] = std::move(*found);
        }
    }
    std::vector<config_record> chain;
    const auto entry = head.entries.find(object);
    auto change = entry == head.entries.end() ? change_id {} : entry->second.change;
    for (auto found = records.find(change); found != records.end(); found = records.find(change)) {
        change = found->second.previous;
        chain.push_back(std::move(found->second));
        records.erase(found);
    }
    return chain;
}

namespace {

using head_callback = std::function<void(std::variant<config_head, platform_unavailable>)>;

void readHead(platform_client &platform, head_callback done)
{
    platform.get(headKey, [done = std::move(done)](const read_result &result) {
        if (const auto *unavailable = std::get_if<platform_unavailable>(&result)) {
            done(*unavailable);
            return;
        }
        const auto *object = std::get_if<platform_object>(&result);
        auto head = object == nullptr ? parsed<config_head>(config_head {}) : parseHead(object->value);
        if (auto *found = std::get_if<config_head>(&head)) {
            done(std::move(*found));
            return;
        }
        done(platform_unavailable {"the configuration head in the platform is malformed"});
    });
}

} // namespace

void readCurrent(platform_client &platform, const config_object &object, std::function<void(current_result)> done)
{
    readHead(platform, [&platform, object, done = std::move(done)](std::variant<config_head, platform_unavailable> result) {
        auto *head = std::get_if<config_head>(&result);
        if (head == nullptr) {
            done(std::get<platform_unavailable>(result));
            return;
        }
        const auto entry = head->entries.find(object);
        if (entry == head->entries.end()) {
            done(current_object {std::move(*head), std::nullopt});
            return;
        }
        const auto key = recordKey(object, entry->second.change);
        platform.get(key, [head = std::move(*head), done](const read_result &read) {
            const auto *value = std::get_if<platform_object>(&read);
            auto record = value == nullptr ? parsed<config_record>(config_errors {}) : parseRecord(value->value);
            if (auto *found = std::get_if<config_record>(&record)) {
                done(current_object {head, std::move(*found)});
                return;
            }
            done(platform_unavailable {"the record in force cannot be read"});
        });
    });
}

void readHistory(platform_client &platform, const config_object &object, std::function<void(history_result)> done)
{
    // The head is read before the list, so that the list contains every record on its chain.
    readHead(platform, [&platform, object, done = std::move(done)](std::variant<config_head, platform_unavailable> result) {
        auto *head = std::get_if<config_head>(&result);
        if (head == nullptr) {
            done(std::get<platform_unavailable>(result));
            return;
        }
        platform.list(recordPrefix(object), read_freshness::newest, [head = std::move(*head), object, done](const list_result &listed) {
            if (const auto *list = std::get_if<object_list>(&listed)) {
                done(acceptedRecords(head, object, list->objects));
                return;
            }
            done(std::get<platform_unavailable>(listed));
        });
    });
}

} // namespace daisystile
