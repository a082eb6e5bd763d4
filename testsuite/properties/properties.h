#pragma once

/// @file
/// Property tests of everything that reads input from outside. Each function returns false if a property fails.

namespace bergamotroute::properties {

bool checkPackets();
bool checkInputFiles();
/// Guards against printed JSON that the same schema refuses, such as 64-bit numbers printed as text.
bool checkJsonRoundTrip();
bool checkScenarioFiles();
bool checkStoredFrames();
bool checkEntryHostInput();
bool checkAnnouncements();
bool checkCommands();

}
