#include "libbergamotio/json_schema.h"

#include "bergamotroute/result_code.h"

#include "announcement.pb.h"
#include "settings.pb.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace bergamotroute;

namespace {

InputError parse(std::string_view text)
{
    schema::ControlHostSettings settings;
    return parseJsonMessage(text, "control.json", settings);
}

constexpr std::string_view minimal = R"({
    // a comment
    "host": "c1", "data_centre": "perth-1", "rpc_listen": "127.0.0.1:7000",
    "operators": { "listen": "127.0.0.1:7100" },
    "data_folder": "state"
})";

}

// Guards against settings that lose the defaults of the schema or reject comments.
TEST_CASE("defaults fill absent keys and comments are accepted")
{
    schema::ControlHostSettings settings;
    const InputError error = parseJsonMessage(minimal, "control.json", settings);
    REQUIRE_MESSAGE(!error, error.message);
    CHECK(settings.heartbeat_ms() == 100);
    CHECK(settings.log().level() == "info");
}

// Guards against a misspelt key that is silently ignored.
TEST_CASE("an unknown key is refused with file, line and key")
{
    const InputError error = parse("{\n  \"host\": \"c1\",\n  \"hots\": 1\n}");
    CHECK(error.code == ResultCode::SettingsUnknownKey);
    CHECK(error.message == "control.json:3: hots: unknown key");
}

// Guards against values of another type, outside their range or of another form.
TEST_CASE("wrong types, ranges and forms are refused")
{
    CHECK(parse("{\"host\": 5}").code == ResultCode::SettingsWrongType);
    CHECK(parse("{\"heartbeat_ms\": 1}").code == ResultCode::SettingsOutOfRange);
    CHECK(parse("{\"heartbeat_ms\": -1}").code == ResultCode::SettingsOutOfRange);
    CHECK(parse("{\"heartbeat_ms\": true}").code == ResultCode::SettingsWrongType);
    CHECK(parse("{\"rpc_listen\": \"localhost\"}").code == ResultCode::SettingsOutOfRange);
    CHECK(parse("{\"initial_members\": {}}").code == ResultCode::SettingsWrongType);
}

// Guards against a missing required key that starts with an empty value.
TEST_CASE("a missing required key is refused")
{
    const InputError error = parse("{\"host\": \"c1\"}");
    CHECK(error.code == ResultCode::SettingsMissingKey);
}

// Guards against two values for one key, of which one is silently lost.
TEST_CASE("duplicate keys and syntax faults name their line")
{
    const InputError error = parse("{\n\"host\": \"a\",\n\"host\": \"b\"}");
    CHECK(error.code == ResultCode::SettingsSyntax);
    CHECK(error.message.starts_with("control.json:3:"));
}

// Guards against 64-bit numbers that toJson() prints and the parser refuses: announcements and configurations carry
// them.
TEST_CASE("a message with 64-bit numbers survives printing and parsing")
{
    schema::Announcement sent;
    sent.set_service("ordering");
    sent.set_address("10.0.0.1");
    sent.set_fou_port(6080);
    sent.set_slots(2);
    sent.set_data_centre("dc1");
    sent.set_lease_seconds(6);
    sent.set_health_url("http://10.0.0.1:80/health");
    sent.set_load_url("http://10.0.0.1:80/load");
    sent.set_incarnation(18'446'744'073'709'551'615ull);
    schema::Announcement received;
    const InputError error = parseJsonMessage(toJson(sent, false), "announcement", received);
    CHECK(error.message.empty());
    CHECK(received.incarnation() == sent.incarnation());
    CHECK(parseJsonMessage("{\"time_ms\": \"12x\"}", "report", *std::make_unique<schema::LoadReport>()).code
        == ResultCode::SettingsWrongType);
}

// Guards against a setting or command whose text is stored in messages that no host can parse.
TEST_CASE("a text that is no UTF-8 is refused, also where an escape stands for it")
{
    for (const char* text : { "\xff", R"(\udc00)" }) {
        const std::size_t at = minimal.find("c1");
        std::ostringstream settings;
        settings << minimal.substr(0, at) << text << minimal.substr(at + 2);
        CHECK(parse(settings.str()).code == ResultCode::SettingsSyntax);
    }
}

// Guards against a process that ends because a caller's text is nested more deeply than the parser allows.
TEST_CASE("a text that is nested too deeply is refused with a message")
{
    constexpr std::size_t depth = 100'000;
    const std::string lists(depth, '[');
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
        objects += R"({"host":)";
    for (const std::string& text : { lists, objects, R"({"host":)" + lists }) {
        const InputError error = parse(text);
        CHECK(error.code == ResultCode::SettingsSyntax);
        CHECK_FALSE(error.message.empty());
    }
}

// Guards against a number that is cut to the size of its field.
TEST_CASE("a number beyond the range of its field is refused")
{
    for (const char* number : { "4294967296", "18446744073709551616", "1e400", "-1", "1e30" }) {
        std::string text(minimal.substr(0, minimal.rfind('}')));
        text.append(R"(, "heartbeat_ms": )").append(number).append("}");
        CHECK(parse(text));
    }
}
