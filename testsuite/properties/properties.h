#pragma once

/// @file
/// Property tests of all code that reads external input. Each function returns false if a property fails.

namespace bergamotroute::properties {

bool checkPackets();
bool checkInputFiles();
/// Guards against JSON output that the parser of the same schema rejects, such as 64-bit numbers printed as strings.
bool checkJsonRoundTrip();
bool checkScenarioFiles();
bool checkStoredFrames();
bool checkEntryHostInput();
bool checkAnnouncements();
bool checkCommands();

}
