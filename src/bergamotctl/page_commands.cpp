// settings-page and result-codes-page: operators' pages that are generated from the schema and the table of codes.

#include "bergamotctl/commands.h"

#include "options.pb.h"
#include "settings.pb.h"
#include "tool.pb.h"

#include <google/protobuf/descriptor.h>
#include <iostream>
#include <sstream>

namespace bergamotroute {

namespace {

    using google::protobuf::Descriptor;
    using google::protobuf::FieldDescriptor;

    std::string typeText(const FieldDescriptor& field)
    {
        std::string text;
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_MESSAGE:
            text = "object";
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            text = "true or false";
            break;
        case FieldDescriptor::CPPTYPE_STRING:
            text = "string";
            break;
        default:
            text = "number";
        }
        return field.is_repeated() ? "list of " + text + 's' : text;
    }

    std::string rangeText(const schema::FieldRules& rules)
    {
        std::ostringstream text;
        // The largest limits have seven digits; the default precision of six would round them.
        text.precision(15);
        if (!rules.format().empty())
            text << rules.format() << ' ';
        if (rules.has_min())
            text << "from " << rules.min() << ' ';
        if (rules.has_max())
            text << "to " << rules.max() << ' ';
        text << rules.unit();
        std::string result = text.str();
        result.erase(result.find_last_not_of(' ') + 1);
        return result;
    }

    std::string defaultText(const schema::FieldRules& rules)
    {
        if (rules.required())
            return "required";
        return rules.default_json().empty() ? "" : '`' + rules.default_json() + '`';
    }

    void printFields(std::ostream& out, const Descriptor& message, const std::string& prefix)
    {
        for (int i = 0; i < message.field_count(); ++i) {
            const FieldDescriptor& field = *message.field(i);
            const schema::FieldRules& rules = field.options().GetExtension(schema::rules);
            const std::string key = prefix + field.name();
            out << "| `" << key << "` | " << typeText(field) << " | " << rangeText(rules) << " | " << defaultText(rules)
                << " | " << rules.help() << " |\n";
            if (field.message_type() != nullptr)
                printFields(out, *field.message_type(), key + (field.is_repeated() ? "[]." : "."));
        }
    }

    void printSection(std::ostream& out, const char* program, const Descriptor& message)
    {
        out << "\n## " << program << "\n\n| key | type | range | default | meaning |\n|---|---|---|---|---|\n";
        printFields(out, message, "");
    }

}

ExitStatus runSettingsPage(Session& session, Arguments)
{
    std::ostream& out = session.out();
    out << "# Settings\n\n"
        << "Settings files are JSON with comments (`//` and `/* */`). Unknown keys, wrong types and values outside the "
           "range\n"
        << "are refused with file, line and key. For strings and lists the range is that of the length. This page is "
           "printed\n"
        << "by `bergamotctl settings-page` from `src/schema/`.\n";
    printSection(out, "bergamotd", *schema::EntryHostSettings::descriptor());
    printSection(out, "bergamot-control", *schema::ControlHostSettings::descriptor());
    printSection(out, "bergamot-directory", *schema::DirectorySettings::descriptor());
    printSection(out, "bergamot-entry", *schema::CookieEntrySettings::descriptor());
    printSection(out, "bergamotctl", *schema::OperatorToolSettings::descriptor());
    return ExitStatus::Done;
}

ExitStatus runResultCodesPage(Session& session, Arguments)
{
    std::ostream& out = session.out();
    out << "# Result codes\n\n"
        << "Log lines, HTTP answers and messages of `bergamotctl` carry these numbers. This page is printed by\n"
        << "`bergamotctl result-codes-page` from the table in `src/libbergamot/base/result_code.cpp`.\n\n"
        << "| code | name | meaning and what to do |\n|---|---|---|\n";
    for (const ResultCodeInfo& info : resultCodeTable())
        out << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.help << " |\n";
    return ExitStatus::Done;
}

}
