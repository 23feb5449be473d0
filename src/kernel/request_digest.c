/** Request digests. */
#include "tealspar/request_digest.h"

#include <string.h>

#define SHA256_SIZE 32U

ts_request_digest_t ts_request_digest(const ts_digest_piece_t *pieces, unsigned count)
{
    ts_request_digest_t digest;
    guint8 whole[SHA256_SIZE];
    gsize size = sizeof(whole);
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    for (unsigned i = 0; i < count; i++) {
        uint64_t length = pieces[i].length;
        g_checksum_update(checksum, (const guchar *)&length, sizeof(length));
        if (length > 0)
            g_checksum_update(checksum, (const guchar *)pieces[i].text, (gssize)length);
    }
    g_checksum_get_digest(checksum, whole, &size);
    g_checksum_free(checksum);
    memcpy(digest.bytes, whole, sizeof(digest.bytes));
    return digest;
}

bool ts_request_digest_is_equal(const ts_request_digest_t *a, const ts_request_digest_t *b)
{
    return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

guint ts_request_digest_hash(gconstpointer digest)
{
    guint hash;
    memcpy(&hash, digest, sizeof(hash)); // the digest is uniformly distributed
    return hash;
}

gboolean ts_request_digest_equal(gconstpointer a, gconstpointer b)
{
    return ts_request_digest_is_equal(a, b);
}

GHashTable *ts_request_digest_set(void)
{
    return g_hash_table_new_full(ts_request_digest_hash, ts_request_digest_equal, g_free, NULL);
}

void ts_request_digest_print(const ts_request_digest_t *digest, char text[TS_REQUEST_DIGEST_TEXT])
{
    for (unsigned i = 0; i < TS_REQUEST_DIGEST_SIZE; i++)
        g_snprintf(text + 2 * i, 3, "%02x", digest->bytes[i]);
}
