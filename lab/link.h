/**
 * A link: a loopback TCP proxy in front of one address, which delays, holds, resets or half-opens
 * what passes. How it behaves is asked anew for each connection, so one link may treat its dialling
 * ends differently.
 */
#ifndef LAB_LINK_H
#define LAB_LINK_H

#include <stdbool.h>
#include <uv.h>

typedef enum lab_link_mode {
    LAB_LINK_PASS,
    LAB_LINK_SILENT,      /**< bytes are held, both ways, until the mode changes */
    LAB_LINK_RESET,       /**< connections are closed at once */
    LAB_LINK_HALF_OPEN,   /**< bytes to the listening end are held, the others pass */
    LAB_LINK_HOLD_REPLIES /**< bytes from the listening end are held, the others pass */
} lab_link_mode_t;

/** What decides; `source` is the dialling end's IP number. */
typedef struct lab_link_ops {
    lab_link_mode_t (*mode)(void *ctx, const char *source);
    double (*delay_ms)(void *ctx, const char *source);
} lab_link_ops_t;

typedef struct lab_link lab_link_t;

/** Listens at "IP:port" and forwards to `target`; NULL when that fails. Lives as long as the loop.
 */
lab_link_t *lab_link_open(uv_loop_t *loop, const char *listen, const char *target,
                          const lab_link_ops_t *ops, void *ctx);
/** Connections from now on go to another address. */
void lab_link_set_target(lab_link_t *link, const char *target);
/** What stands behind it has ended: it listens no more, and its connections are reset. */
void lab_link_close(lab_link_t *link);
/** Connections that are open now carry nothing any more, without a reset; new ones do. */
void lab_link_blackhole(lab_link_t *link);
/** To be called when `mode` would answer differently than before. */
void lab_link_mode_changed(lab_link_t *link);

#endif
