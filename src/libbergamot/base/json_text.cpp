#include "bergamotroute/json_text.h"

#include "bergamotroute/utf8.h"

#include <algorithm>
#include <json/json.h>
#include <memory>

namespace bergamotroute {

namespace {

    constexpr const char* notUtf8 = "the text is not valid UTF-8";

    bool isStringUtf8(const Json::Value& value)
    {
        const char* begin = nullptr;
        const char* end = nullptr;
        return !value.getString(&begin, &end) || isUtf8({ begin, static_cast<std::size_t>(end - begin) });
    }

    /// An escape may stand for half of a surrogate pair, which has no form in UTF-8.
    bool areStringsUtf8(const Json::Value& value)
    {
        if (value.isString())
            return isStringUtf8(value);
        for (auto item = value.begin(); item != value.end(); ++item) {
            if ((value.isObject() && !isUtf8(item.name())) || !areStringsUtf8(*item))
                return false;
        }
        return true;
    }

}

bool parseJsonText(
    std::string_view text, const Json::CharReaderBuilder& builder, Json::Value& value, std::string& fault)
{
    if (!isUtf8(text)) {
        fault = notUtf8;
        return false;
    }
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &fault))
            return false;
    } catch (const Json::Exception& exception) {
        // The parser throws at a text that is nested too deeply.
        fault = exception.what();
        return false;
    }
    const bool hasEscapes = text.find("\\u") != std::string_view::npos;
    if (hasEscapes && !areStringsUtf8(value)) {
        fault = notUtf8;
        return false;
    }
    return true;
}

}
