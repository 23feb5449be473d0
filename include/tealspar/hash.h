/** 64-bit xxHash of names, used for ids on the wire and for rendezvous hashing. */
#ifndef TEALSPAR_HASH_H
#define TEALSPAR_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Hash of a string; the same on all nodes and in all versions. */
uint64_t ts_hash_text(const char *text);
uint64_t ts_hash_bytes(const void *bytes, size_t length);
/** Combines two hashes; the result depends on their order. */
uint64_t ts_hash_mix(uint64_t left, uint64_t right);

#endif
