/**
 * Digest that identifies a request across attempts and senders. It covers method, target, host,
 * tenant and body. Ids, deadlines and other header fields differ between attempts and are excluded.
 */
#ifndef TEALSPAR_REQUEST_DIGEST_H
#define TEALSPAR_REQUEST_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A truncated SHA-256, long enough that nobody can forge a request with the digest of another. */
#define TS_REQUEST_DIGEST_SIZE 16U
/* Size of the hexadecimal form, including the NUL. */
#define TS_REQUEST_DIGEST_TEXT (2U * TS_REQUEST_DIGEST_SIZE + 1U)

typedef struct ts_request_digest {
    uint8_t bytes[TS_REQUEST_DIGEST_SIZE];
} ts_request_digest_t;

/** A piece of a request; the digest also covers its length. */
typedef struct ts_digest_piece {
    const char *text; /**< may be NULL if `length` is 0 */
    size_t length;
} ts_digest_piece_t;

/** Computes the digest of the pieces, in the given order. */
ts_request_digest_t ts_request_digest(const ts_digest_piece_t *pieces, unsigned count);
bool ts_request_digest_is_equal(const ts_request_digest_t *a, const ts_request_digest_t *b);
/** GHashFunc and GEqualFunc for tables with digests as keys. */
guint ts_request_digest_hash(gconstpointer digest);
gboolean ts_request_digest_equal(gconstpointer a, gconstpointer b);
/** Creates a set of digests, which owns its elements. */
GHashTable *ts_request_digest_set(void);
/** Formats the digest as hexadecimal digits. */
void ts_request_digest_print(const ts_request_digest_t *digest, char text[TS_REQUEST_DIGEST_TEXT]);

#endif
