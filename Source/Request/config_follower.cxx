#include "config_follower.h"

namespace daisystile {

static constexpr milliseconds headInterval {250};

config_follower::config_follower(reactor &loop, platform_client &platform, changed_callback changed)
    : m_loop(loop),
      m_platform(platform),
      m_changed(std::move(changed))
{
}

void config_follower::start()
{
    readHead(true);
}

void config_follower::readSoon()
{
    readHead(false);
}

std::uint64_t config_follower::number() const
{
    return m_number;
}

void config_follower::readHead(bool again)
{
    m_platform.get(headKey, [this, again](const read_result &result) {
        if (again) {
            m_loop.after(headInterval, [this] { readHead(true); });
        }
        const auto *object = std::get_if<platform_object>(&result);
        if (object == nullptr || m_reading > 0) {
            return;
        }
        const auto head = parseHead(object->value);
        const auto *found = std::get_if<config_head>(&head);
        if (found != nullptr && found->number > m_number) {
            readRecords(*found);
        }
    });
}

void config_follower::readRecords(const config_head &head)
{
    m_headNumber = head.number;
    m_incomplete = false;
    m_reading = 1;
    for (const auto &[object, entry] : head.entries) {
        const auto held = m_records.find(object);
        if (held != m_records.end() && held->second->change == entry.change) {
            continue;
        }
        m_reading += 1;
        m_platform.get(recordKey(object, entry.change), [this, object = object](const read_result &result) {
            const auto *value = std::get_if<platform_object>(&result);
            auto record = value == nullptr ? parsed<config_record>(config_mistakes {}) : parseRecord(value->value);
            if (auto *read = std::get_if<config_record>(&record)) {
                m_records[object] = std::make_shared<const config_record>(std::move(*read));
            } else {
                m_incomplete = true;
            }
            finishRound();
        });
    }
    finishRound();
}

void config_follower::finishRound()
{
    m_reading -= 1;
    if (m_reading > 0) {
        return;
    }
    if (!m_incomplete) {
        m_number = m_headNumber;
    }
    m_config = buildConfiguration(m_records, *m_config);
    m_changed(m_config);
}

} // namespace daisystile
