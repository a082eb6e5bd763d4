#pragma once

/// @file
/// Frames of the log and snapshot files: length, checksum and payload.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Frames found in a file.
struct FrameScan {
    /// Payloads of the intact frames before the first fault; views of the scanned text.
    std::vector<std::string_view> payloads;
    /// Bytes up to the end of the last intact frame before the first fault.
    std::size_t intactBytes = 0;
    /// Bytes after intactBytes form no frame, and no intact frame follows: an interrupted last write.
    bool torn = false;
    /// An intact frame follows the fault, so bytes that were durable once have changed.
    bool damaged = false;
};

/// @return the payload as a frame.
std::string makeFrame(std::string_view payload);

/// Reads the frames of a file.
FrameScan scanFrames(std::string_view content);

}
