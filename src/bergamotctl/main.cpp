/// @file
/// Entry point of bergamotctl.

#include "bergamotroute/result_code.h"

#include <iostream>

int main()
{
    for (const bergamotroute::ResultCodeInfo& info : bergamotroute::resultCodeTable())
        std::cout << static_cast<int>(info.code) << '\t' << info.name << '\t' << info.help << '\n';
    return 0;
}
