/// @file
/// Guards against log lines that are no JSON, and against input that forges a line or a key.

#include "libbergamotio/log_line.h"

#include <doctest/doctest.h>
#include <json/json.h>
#include <memory>

using namespace bergamotroute;

namespace {

Json::Value parse(const std::string& text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    std::string fault;
    REQUIRE_MESSAGE(reader->parse(text.data(), text.data() + text.size(), &value, &fault), fault);
    return value;
}

}

TEST_CASE("every value is read back as it was written")
{
    const std::string zero("a\0b", 3);
    for (const std::string& value :
        { std::string(), std::string("i-7f3a91c2"), std::string("say \"no\""), std::string("back\\slash"),
            std::string("two\nlines\t"), std::string("\x7f"), std::string("Zürich"), zero }) {
        LogLine line;
        line.add("value", value);
        CHECK(line.text().find('\n') == std::string::npos);
        CHECK(parse(line.text())["value"].asString() == value);
    }
}

TEST_CASE("input cannot add a key or end the line")
{
    LogLine line;
    line.add("path", "x\",\"code\":\"0");
    line.add("code", 101);
    const Json::Value value = parse(line.text());
    CHECK(value.size() == 2);
    CHECK(value["code"].asUInt64() == 101);
}

TEST_CASE("pairs of another line are added as they are")
{
    LogLine common;
    common.add("host", "entry-1");
    LogLine line;
    line.addPairs(common.pairs());
    line.addPairs({});
    line.add("name", "Ok");
    CHECK(line.text() == R"({"host":"entry-1","name":"Ok"})");
}
