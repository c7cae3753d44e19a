#pragma once

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace daisystile {

/// Leaves the process no descriptor beyond those that are open.
class no_more_descriptors
{
public:
    no_more_descriptors()
    {
        EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &m_before), 0);
        const int next = dup(STDIN_FILENO);
        close(next);
        const rlimit none {static_cast<rlim_t>(next), m_before.rlim_max};
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    }

    ~no_more_descriptors()
    {
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &m_before), 0);
    }

    no_more_descriptors(const no_more_descriptors &) = delete;
    no_more_descriptors &operator=(const no_more_descriptors &) = delete;

private:
    rlimit m_before {};
};

} // namespace daisystile
