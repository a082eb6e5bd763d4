/// @file
/// Entry point of bergamot-directory.

#include "bergamot-directory/directory_daemon.h"
#include "libbergamotio/daemon_main.h"
#include "platform/operator_interface.h"

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    const platform::OperatorInterface protocol;
    return runDaemonProgram<schema::DirectorySettings>(
        argc, argv, "bergamot-directory", [&protocol](EventLoop& loop, const schema::DirectorySettings& settings) {
            return std::make_unique<DirectoryDaemon>(loop, settings, protocol);
        });
}
