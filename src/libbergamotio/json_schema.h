#pragma once

/// @file
/// Reads JSON with comments into schema messages and names file, line and key of each fault.

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// A fault in an input file, with its place.
struct InputError {
    std::error_code code;
    /// In the form "file:line: key: fault"; empty if there is no error.
    std::string message;

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// Parses JSON with comments and checks it against the message's descriptor and its FieldRules.
/// Keys are the field names of the schema. Absent keys get the default of their rules.
/// @param text the JSON text.
/// @param fileName name used in error texts.
/// @param[out] message receives the values; its content is unspecified after an error.
/// @return the first fault, or an empty error.
InputError parseJsonMessage(std::string_view text, std::string_view fileName, google::protobuf::Message& message);

/// Reads a file and parses it like parseJsonMessage().
/// @return the first fault; ResultCode::SettingsUnreadable if the file cannot be read.
InputError loadJsonMessage(const std::string& path, google::protobuf::Message& message);

/// Prints a message as JSON with the schema's field names.
/// @param pretty with line breaks and indentation.
std::string toJson(const google::protobuf::Message& message, bool pretty);

}
