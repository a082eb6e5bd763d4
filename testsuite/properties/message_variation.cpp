#include "message_variation.h"

#include "options.pb.h"

#include <algorithm>
#include <google/protobuf/descriptor.h>
#include <limits>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace bergamotroute::properties {

namespace {

    using google::protobuf::FieldDescriptor;
    using google::protobuf::Message;
    using google::protobuf::Reflection;

    /// Maximum length of a generated string where the schema sets none.
    constexpr std::size_t maxStringLength = 40;

    std::string anyString(const schema::FieldRules& rules)
    {
        const std::size_t shortest
            = std::max<std::size_t>(1, rules.has_min() ? static_cast<std::size_t>(rules.min()) : 0);
        const std::size_t longest = rules.has_max() ? static_cast<std::size_t>(rules.max()) : maxStringLength;
        const std::size_t length = *rc::gen::inRange<std::size_t>(shortest, longest + 1);
        // ASCII including control characters, which the JSON writer must escape.
        return *rc::gen::container<std::string>(length, rc::gen::inRange<char>(1, std::numeric_limits<char>::max()));
    }

    std::uint64_t anyNumber(const schema::FieldRules& rules, std::uint64_t largest)
    {
        const std::uint64_t low = rules.has_min() ? static_cast<std::uint64_t>(rules.min()) : 0;
        const std::uint64_t high = rules.has_max() ? static_cast<std::uint64_t>(rules.max()) : largest;
        return *rc::gen::inRange<std::uint64_t>(low, high) + (*rc::gen::arbitrary<bool>() ? 1 : 0);
    }

    double anyFraction(const schema::FieldRules& rules)
    {
        constexpr std::uint64_t steps = 1000;
        constexpr double defaultMax = 1e6;
        const double low = rules.has_min() ? rules.min() : 0;
        const double high = rules.has_max() ? rules.max() : defaultMax;
        const auto step = static_cast<double>(*rc::gen::inRange<std::uint64_t>(0, steps + 1));
        return std::min(high, low + (high - low) * step / static_cast<double>(steps));
    }

    void varySingle(Message& message, const FieldDescriptor& field, const schema::FieldRules& rules)
    {
        const Reflection& reflection = *message.GetReflection();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            if (rules.format().empty())
                reflection.SetString(&message, &field, anyString(rules));
            break;
        case FieldDescriptor::CPPTYPE_UINT32:
            reflection.SetUInt32(&message, &field,
                static_cast<std::uint32_t>(anyNumber(rules, std::numeric_limits<std::uint32_t>::max() - 1)));
            break;
        case FieldDescriptor::CPPTYPE_UINT64:
            reflection.SetUInt64(&message, &field, anyNumber(rules, std::numeric_limits<std::uint64_t>::max() - 1));
            break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            reflection.SetDouble(&message, &field, anyFraction(rules));
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            reflection.SetBool(&message, &field, *rc::gen::arbitrary<bool>());
            break;
        case FieldDescriptor::CPPTYPE_MESSAGE:
            varyFields(*reflection.MutableMessage(&message, &field));
            break;
        default:
            break;
        }
    }

    void varyRepeated(Message& message, const FieldDescriptor& field)
    {
        const Reflection& reflection = *message.GetReflection();
        if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
            return;
        for (int i = 0; i < reflection.FieldSize(message, &field); ++i)
            varyFields(*reflection.MutableRepeatedMessage(&message, &field, i));
    }

}

void varyFields(Message& message)
{
    std::vector<const FieldDescriptor*> present;
    message.GetReflection()->ListFields(message, &present);
    for (const FieldDescriptor* field : present) {
        const schema::FieldRules& rules = field->options().GetExtension(schema::rules);
        if (field->is_repeated())
            varyRepeated(message, *field);
        else
            varySingle(message, *field, rules);
    }
}

}
