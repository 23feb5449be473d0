/**
 * What tells one request from another, whoever sends it and however often: method, target, host,
 * tenant and body. Ids, deadlines and further fields differ from try to try and are left out.
 */
#ifndef TEALSPAR_REQUEST_DIGEST_H
#define TEALSPAR_REQUEST_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Half of a SHA-256: nobody can make a request that is taken for another one's. */
#define TS_REQUEST_DIGEST_SIZE 16U
/* As text: two digits a byte and a NUL. */
#define TS_REQUEST_DIGEST_TEXT (2U * TS_REQUEST_DIGEST_SIZE + 1U)

typedef struct ts_request_digest {
    uint8_t bytes[TS_REQUEST_DIGEST_SIZE];
} ts_request_digest_t;

/** A piece of a request; the digest covers its length too. */
typedef struct ts_digest_piece {
    const char *text; /**< may be NULL if the length is 0 */
    size_t length;
} ts_digest_piece_t;

/** The digest of the pieces in their order. */
ts_request_digest_t ts_request_digest(const ts_digest_piece_t *pieces, unsigned count);
bool ts_request_digest_is_equal(const ts_request_digest_t *a, const ts_request_digest_t *b);
/** For tables that digests are keys of (GHashFunc, GEqualFunc). */
guint ts_request_digest_hash(gconstpointer digest);
gboolean ts_request_digest_equal(gconstpointer a, gconstpointer b);
/** A new set of digests, which owns what is added. */
GHashTable *ts_request_digest_set(void);
/** Writes it as hexadecimal digits. */
void ts_request_digest_print(const ts_request_digest_t *digest, char text[TS_REQUEST_DIGEST_TEXT]);

#endif
