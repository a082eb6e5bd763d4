/// @file
/// Entry point of bergamot-entry.

#include "bergamot-entry/cookie_entry_daemon.h"
#include "libbergamotio/daemon_main.h"
#include "platform/operator_interface.h"
#include "platform/packet_format.h"

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    const platform::PacketFormat codec;
    return runDaemonProgram<schema::CookieEntrySettings>(
        argc, argv, "bergamot-entry", [&](EventLoop& loop, const schema::CookieEntrySettings& settings) {
            return std::make_unique<CookieEntryDaemon>(
                loop, settings, EntryAdapter { codec, platform::targetNumber, platform::readinessPath });
        });
}
