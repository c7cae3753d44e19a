#pragma once

#include <streambuf>
#include <string_view>

namespace daisystile {

/// Lets a stream read bytes in place, without a copy.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    bool atEnd() const
    {
        return gptr() == egptr();
    }
};

} // namespace daisystile
