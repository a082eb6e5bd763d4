#include "bergamotroute/utf8.h"

#include <google/protobuf/stubs/common.h>

namespace bergamotroute {

bool isUtf8(std::string_view text)
{
    // The parser's own check, so that what passes here can be parsed everywhere.
    return google::protobuf::internal::IsStructurallyValidUTF8(text.data(), static_cast<int>(text.size()));
}

}
