#include "libbergamotio/process_time.h"

#include <ctime>

namespace bergamotroute {

Duration processorTime()
{
    const std::chrono::duration<double> seconds(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    return std::chrono::duration_cast<Duration>(seconds);
}

}
