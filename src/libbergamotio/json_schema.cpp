#include "libbergamotio/json_schema.h"

#include "bergamotroute/json_text.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/types.h"

#include "options.pb.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <json/json.h>
#include <limits>
#include <memory>
#include <sstream>

namespace bergamotroute {

namespace {

    using google::protobuf::Descriptor;
    using google::protobuf::EnumValueDescriptor;
    using google::protobuf::FieldDescriptor;
    using google::protobuf::Message;
    using google::protobuf::Reflection;

    const schema::FieldRules& rulesOf(const FieldDescriptor& field)
    {
        return field.options().GetExtension(schema::rules);
    }

    bool parseJson(std::string_view text, Json::Value& root, std::string& faults)
    {
        Json::CharReaderBuilder builder;
        builder["allowComments"] = true;
        builder["rejectDupKeys"] = true;
        builder["failIfExtra"] = true;
        return parseJsonText(text, builder, root, faults);
    }

    class MessageReader {
    public:
        MessageReader(std::string_view text, std::string_view fileName)
            : m_text(text)
            , m_fileName(fileName)
        {
        }

        InputError read(const Json::Value& value, const std::string& path, Message& message)
        {
            if (!value.isObject())
                return fault(ResultCode::SettingsWrongType, value, path, "an object is expected");
            const Descriptor& descriptor = *message.GetDescriptor();
            for (const std::string& key : value.getMemberNames()) {
                const FieldDescriptor* field = descriptor.FindFieldByName(key);
                const std::string fieldPath = path.empty() ? key : path + '.' + key;
                if (field == nullptr)
                    return fault(ResultCode::SettingsUnknownKey, value[key], fieldPath, "unknown key");
                if (InputError error = readField(value[key], fieldPath, *field, message))
                    return error;
            }
            return completeMessage(value, path, message);
        }

    private:
        InputError fault(
            ResultCode code, const Json::Value& value, const std::string& path, const std::string& what) const
        {
            return faultAt(code, value.getOffsetStart(), path, what);
        }

        InputError faultAt(
            ResultCode code, std::ptrdiff_t offset, const std::string& path, const std::string& what) const
        {
            const auto end
                = m_text.begin() + std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(m_text.size()));
            const auto line = 1 + std::count(m_text.begin(), end, '\n');
            std::ostringstream out;
            out << m_fileName << ':' << line << ": " << (path.empty() ? "(top level)" : path) << ": " << what;
            return { code, out.str() };
        }

        InputError readField(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            if (!field.is_repeated())
                return readValue(value, path, field, message);
            if (!value.isArray())
                return fault(ResultCode::SettingsWrongType, value, path, "a list is expected");
            for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
                if (InputError error = readValue(value[i], path + '[' + std::to_string(i) + ']', field, message))
                    return error;
            }
            return {};
        }

        InputError readValue(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const Reflection& reflection = *message.GetReflection();
            switch (field.cpp_type()) {
            case FieldDescriptor::CPPTYPE_MESSAGE: {
                Message* child = field.is_repeated() ? reflection.AddMessage(&message, &field)
                                                     : reflection.MutableMessage(&message, &field);
                return read(value, path, *child);
            }
            case FieldDescriptor::CPPTYPE_STRING:
                return readString(value, path, field, message);
            case FieldDescriptor::CPPTYPE_BOOL:
                if (!value.isBool())
                    return fault(ResultCode::SettingsWrongType, value, path, "true or false is expected");
                reflection.SetBool(&message, &field, value.asBool());
                return {};
            case FieldDescriptor::CPPTYPE_ENUM:
                return readEnum(value, path, field, message);
            default:
                return readNumber(value, path, field, message);
            }
        }

        InputError readString(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            if (!value.isString())
                return fault(ResultCode::SettingsWrongType, value, path, "a string is expected");
            const std::string text = value.asString();
            if (InputError error = checkRange(value, path, field, static_cast<double>(text.size()), "length"))
                return error;
            if (InputError error = checkFormat(value, path, field, text))
                return error;
            const Reflection& reflection = *message.GetReflection();
            if (field.is_repeated())
                reflection.AddString(&message, &field, text);
            else
                reflection.SetString(&message, &field, text);
            return {};
        }

        InputError checkFormat(const Json::Value& value, const std::string& path, const FieldDescriptor& field,
            const std::string& text) const
        {
            const std::string& format = rulesOf(field).format();
            if (text.empty() && !rulesOf(field).required())
                return {};
            std::error_code error;
            if (format == "ip")
                IpAddress::parse(text, error);
            else if (format == "endpoint")
                Endpoint::parse(text, error);
            else if (format == "network")
                IpNetwork::parse(text, error);
            else if (format == "url" && !text.starts_with("http://"))
                error = ResultCode::InvalidValue;
            if (error)
                return fault(
                    ResultCode::SettingsOutOfRange, value, path, "'" + text + "' is not of the form " + format);
            return {};
        }

        InputError readEnum(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const EnumValueDescriptor* choice
                = value.isString() ? field.enum_type()->FindValueByName(value.asString()) : nullptr;
            if (choice == nullptr) {
                std::string names;
                for (int i = 0; i < field.enum_type()->value_count(); ++i)
                    names += (i ? ", " : "") + field.enum_type()->value(i)->name();
                return fault(value.isString() ? ResultCode::SettingsOutOfRange : ResultCode::SettingsWrongType, value,
                    path, "one of " + names + " is expected");
            }
            const Reflection& reflection = *message.GetReflection();
            if (field.is_repeated())
                reflection.AddEnum(&message, &field, choice);
            else
                reflection.SetEnum(&message, &field, choice);
            return {};
        }

        InputError readNumber(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const Reflection& reflection = *message.GetReflection();
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
                if (!value.isNumeric())
                    return fault(ResultCode::SettingsWrongType, value, path, "a number is expected");
                reflection.SetDouble(&message, &field, value.asDouble());
                return checkRange(value, path, field, value.asDouble(), "value");
            }
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64 && value.isString())
                return readWideString(value, path, field, message);
            if (!value.isIntegral() || value.isBool())
                return fault(ResultCode::SettingsWrongType, value, path, "a whole number is expected");
            if (InputError error = checkRange(value, path, field, value.asDouble(), "value"))
                return error;
            return storeInteger(value, path, field, message);
        }

        /// Reads a 64-bit number from a string: the JSON mapping of protobuf prints it so, because many readers keep
        /// only 53 bits of a number.
        InputError readWideString(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const std::string digits = value.asString();
            std::uint64_t number = 0;
            const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
            if (status != std::errc() || end != digits.data() + digits.size())
                return fault(ResultCode::SettingsWrongType, value, path, "a whole number is expected");
            if (InputError error = checkRange(value, path, field, static_cast<double>(number), "value"))
                return error;
            return storeInteger(Json::Value(Json::UInt64(number)), path, field, message);
        }

        InputError storeInteger(
            const Json::Value& value, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const Reflection& reflection = *message.GetReflection();
            const bool isWide = field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
            if (!value.isUInt64() || (!isWide && value.asUInt64() > std::numeric_limits<std::uint32_t>::max()))
                return fault(
                    ResultCode::SettingsOutOfRange, value, path, "the number is outside the range of its type");
            if (isWide && field.is_repeated())
                reflection.AddUInt64(&message, &field, value.asUInt64());
            else if (isWide)
                reflection.SetUInt64(&message, &field, value.asUInt64());
            else if (field.is_repeated())
                reflection.AddUInt32(&message, &field, value.asUInt());
            else
                reflection.SetUInt32(&message, &field, value.asUInt());
            return {};
        }

        InputError checkRange(const Json::Value& value, const std::string& path, const FieldDescriptor& field,
            double number, const char* noun) const
        {
            const schema::FieldRules& rules = rulesOf(field);
            const bool tooSmall = rules.has_min() && number < rules.min();
            const bool tooLarge = rules.has_max() && number > rules.max();
            if (!tooSmall && !tooLarge)
                return {};
            std::ostringstream what;
            what.precision(std::numeric_limits<double>::max_digits10);
            what << noun << ' ' << number << " is outside";
            if (rules.has_min())
                what << " min " << rules.min();
            if (rules.has_max())
                what << " max " << rules.max();
            return fault(ResultCode::SettingsOutOfRange, value, path, what.str());
        }

        InputError completeMessage(const Json::Value& value, const std::string& path, Message& message)
        {
            const Descriptor& descriptor = *message.GetDescriptor();
            for (int i = 0; i < descriptor.field_count(); ++i) {
                const FieldDescriptor& field = *descriptor.field(i);
                if (value.isMember(field.name()))
                    continue;
                const schema::FieldRules& rules = rulesOf(field);
                const std::string fieldPath = path.empty() ? field.name() : path + '.' + field.name();
                if (rules.required())
                    return fault(ResultCode::SettingsMissingKey, value, fieldPath, "required key is missing");
                if (InputError error = applyDefault(rules.default_json(), fieldPath, field, message))
                    return error;
            }
            return {};
        }

        InputError applyDefault(
            const std::string& defaultJson, const std::string& path, const FieldDescriptor& field, Message& message)
        {
            const bool isSingleMessage = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !field.is_repeated();
            if (isSingleMessage && !field.containing_oneof())
                return completeMessage(
                    Json::Value(Json::objectValue), path, *message.GetReflection()->MutableMessage(&message, &field));
            if (defaultJson.empty())
                return {};
            Json::Value value;
            std::string faults;
            if (!parseJson(defaultJson, value, faults))
                return faultAt(ResultCode::SettingsSyntax, 0, path, "the schema's default is not valid JSON");
            return readField(value, path, field, message);
        }

        std::string_view m_text;
        std::string_view m_fileName;
    };

    std::string firstLine(const std::string& text)
    {
        // JsonCpp writes "* Line L, Column C\n  reason".
        std::string flat;
        for (char c : text)
            flat += c == '\n' ? ' ' : c;
        return flat;
    }

    long lineOfFault(const std::string& faults)
    {
        const std::size_t at = faults.find("Line ");
        return at == std::string::npos ? 1 : std::strtol(faults.c_str() + at + 5, nullptr, 10);
    }

}

InputError parseJsonMessage(std::string_view text, std::string_view fileName, google::protobuf::Message& message)
{
    message.Clear();
    Json::Value root;
    std::string faults;
    if (!parseJson(text, root, faults)) {
        std::ostringstream out;
        out << fileName << ':' << lineOfFault(faults) << ": (syntax): " << firstLine(faults);
        return { ResultCode::SettingsSyntax, out.str() };
    }
    return MessageReader(text, fileName).read(root, "", message);
}

InputError loadJsonMessage(const std::string& path, google::protobuf::Message& message)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return { ResultCode::SettingsUnreadable, path + ": cannot be opened" };
    std::ostringstream content;
    content << file.rdbuf();
    return parseJsonMessage(content.str(), path, message);
}

std::string toJson(const google::protobuf::Message& message, bool pretty)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = pretty;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}");
}

}
