#include "bergamotroute/target_record_check.h"

#include "bergamotroute/utf8.h"

#include <initializer_list>

namespace bergamotroute {

std::string findFault(const schema::TargetRecord& record)
{
    if (record.id().empty())
        return "the target has no ID";
    for (const std::string* text :
        { &record.id(), &record.service(), &record.endpoint(), &record.data_centre(), &record.software_version() }) {
        if (!isUtf8(*text))
            return "a text is not valid UTF-8";
    }
    return {};
}

}
