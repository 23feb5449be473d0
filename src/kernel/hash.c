/** Hash functions based on xxHash. */
#include "tealspar/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t ts_hash_text(const char *text)
{
    return ts_hash_bytes(text, strlen(text));
}

uint64_t ts_hash_bytes(const void *bytes, size_t length)
{
    return XXH64(bytes, length, 0);
}

uint64_t ts_hash_mix(uint64_t left, uint64_t right)
{
    uint64_t pair[2] = {left, right};
    return XXH64(pair, sizeof(pair), 0);
}
