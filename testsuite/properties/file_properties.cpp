#include "properties.h"

#include "message_variation.h"
#include "mutation.h"

#include "libbergamotio/json_schema.h"
#include "libbergamotio/log_frames.h"
#include "scenario/statement.h"

#include "announcement.pb.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace bergamotroute::properties {

namespace {

    constexpr const char* validSettings = R"({ // settings of one host
  "host": "e1", "data_centre": "dc1", "fabric_listen": "127.0.0.1:4000", "peer_listen": "127.0.0.1:4001",
  "announce_listen": "127.0.0.1:4002", "operators": { "listen": "127.0.0.1:4003" },
  "peers": [ { "host": "e1", "data_centre": "dc1", "endpoint": "127.0.0.1:4001" } ] })";
    constexpr const char* validManifest
        = R"({ "services": [ { "name": "ordering", "address": "10.0.0.1", "ports": [443],
  "allowed_networks": ["10.9.0.0/16"] } ], "backends": [ { "service": "ordering", "address": "10.9.0.1",
  "state": "BACKEND_DRAIN", "weight_percent": 50 } ] })";
    constexpr const char* validAnnouncement = R"({ "service": "ordering", "address": "10.9.0.1", "fou_port": 5555,
  "slots": 2, "data_centre": "dc1", "state": "READY" })";
    constexpr const char* validScenario
        = "seed 7\ndatacentre dc1 dc2\nhosts 3 buckets=64\nservice s 10.0.0.1 targets=2\n"
          "start\nadvance 8s\nfeeds s count=10 rate=10/s\nexpect broken = 0 within=2s\n";

    /// Guards against a crash on a malformed file, and against an error message without the file name.
    template <typename Message> bool checkMalformedJson(const std::string& name, const std::string& valid)
    {
        return rc::check(
            "a malformed " + name + " file is read, or rejected with its file name in the error", [&name, &valid] {
                Message message;
                const InputError error = parseJsonMessage(anyInput(valid), name, message);
                if (error)
                    RC_ASSERT(error.message.starts_with(name + ":"));
            });
    }

    /// Guards against field values that change when a message is printed as JSON and parsed again.
    template <typename Message> bool checkPrintedJson(const std::string& name, const std::string& valid)
    {
        return rc::check("JSON printed from a valid " + name + " message parses to the same " + name, [&name, &valid] {
            Message message;
            // Most malformed texts are rejected; then the valid text with other field values is used instead.
            if (parseJsonMessage(anyAscii(valid), name, message)) {
                RC_ASSERT(!parseJsonMessage(valid, name, message));
                varyFields(message);
            }
            Message again;
            const std::string printed = toJson(message, true);
            const InputError error = parseJsonMessage(printed, name, again);
            RC_LOG() << printed << error.message;
            RC_ASSERT(!error);
            RC_ASSERT(again.SerializeAsString() == message.SerializeAsString());
        });
    }

    bool checkValid(const std::string& name, const std::string& text, google::protobuf::Message&& message)
    {
        return rc::check("the valid " + name + " file, from which malformed input is derived, is accepted", [&] {
            const InputError error = parseJsonMessage(text, name, message);
            RC_ASSERT(error.message == std::string());
        });
    }

}

bool checkInputFiles()
{
    bool passed = checkValid("settings", validSettings, schema::EntryHostSettings());
    passed = checkValid("manifest", validManifest, schema::Manifest()) && passed;
    passed = checkValid("announcement", validAnnouncement, schema::Announcement()) && passed;
    passed = checkMalformedJson<schema::EntryHostSettings>("settings", validSettings) && passed;
    passed = checkMalformedJson<schema::Manifest>("manifest", validManifest) && passed;
    return checkMalformedJson<schema::Announcement>("announcement", validAnnouncement) && passed;
}

bool checkJsonRoundTrip()
{
    bool passed = checkPrintedJson<schema::EntryHostSettings>("settings", validSettings);
    passed = checkPrintedJson<schema::Manifest>("manifest", validManifest) && passed;
    return checkPrintedJson<schema::Announcement>("announcement", validAnnouncement) && passed;
}

/// Guards against errors in scenario files that are reported without file and line.
bool checkScenarioFiles()
{
    return rc::check("a malformed scenario file is read, or rejected with file and line in the error", [] {
        const scenario::ParsedScenario parsed = scenario::parseScenario(anyInput(validScenario), "x.scenario");
        RC_ASSERT(parsed.error.empty() || parsed.error.starts_with("x.scenario:"));
        for (const scenario::Statement& statement : parsed.statements)
            RC_ASSERT(statement.line > 0);
    });
}

/// Guards against reading a record whose bytes have changed, and against losing intact records before the corruption.
bool checkStoredFrames()
{
    return rc::check("all records before a corrupted byte are read, and the scan ends within the file", [] {
        const auto payloads = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        std::string file;
        for (const std::string& payload : payloads)
            file += makeFrame(payload);
        const FrameScan whole = scanFrames(file);
        RC_ASSERT(whole.payloads.size() == payloads.size());
        RC_ASSERT(!whole.torn);
        RC_ASSERT(!whole.damaged);
        const std::string changed = anyInput(file);
        const FrameScan scan = scanFrames(changed);
        RC_ASSERT(scan.intactBytes <= changed.size());
        const auto common = std::mismatch(file.begin(), file.end(), changed.begin(), changed.end());
        std::size_t offset = 0;
        for (std::size_t index = 0; index < payloads.size(); ++index) {
            offset += makeFrame(payloads[index]).size();
            if (static_cast<std::ptrdiff_t>(offset) > common.first - file.begin())
                break;
            RC_ASSERT(scan.payloads.size() > index);
            RC_ASSERT(scan.payloads[index] == payloads[index]);
        }
    });
}

}
