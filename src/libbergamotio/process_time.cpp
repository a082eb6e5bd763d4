#include "libbergamotio/process_time.h"

#include <sys/resource.h>

namespace bergamotroute {

namespace {

    Duration toDuration(const timeval& time)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec));
    }

}

Duration processorTime()
{
    rusage usage {};
    // Cannot fail with these arguments.
    static_cast<void>(::getrusage(RUSAGE_SELF, &usage));
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

}
