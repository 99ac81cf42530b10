#pragma once

#include <cstdio>
#include <cstdlib>

/// Reports a violated property and ends the fuzzer, which then keeps the input.
inline void check(bool holds, const char *property)
{
    if (!holds) {
        std::fprintf(stderr, "violated: %s\n", property);
        std::abort();
    }
}
