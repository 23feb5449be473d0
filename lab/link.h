/**
 * Link: a loopback TCP proxy in front of one address that can delay traffic, hold it in one or both
 * directions, or reset connections. Mode and delay are looked up by the client's address, so they
 * may differ between clients of one link.
 */
#ifndef LAB_LINK_H
#define LAB_LINK_H

#include <stdbool.h>
#include <uv.h>

typedef enum lab_link_mode {
    LAB_LINK_PASS,
    LAB_LINK_SILENT,      /**< holds the bytes of both directions until the mode changes */
    LAB_LINK_RESET,       /**< closes connections immediately */
    LAB_LINK_HALF_OPEN,   /**< holds bytes to the server, passes those to the client */
    LAB_LINK_HOLD_REPLIES /**< holds bytes to the client, passes those to the server */
} lab_link_mode_t;

/** Mode and delay of a connection; `source` is the client's IP address. */
typedef struct lab_link_ops {
    lab_link_mode_t (*mode)(void *ctx, const char *source);
    double (*delay_ms)(void *ctx, const char *source);
} lab_link_ops_t;

typedef struct lab_link lab_link_t;

/** Listens on "IP:port" and forwards to `target`; NULL on failure. It is never freed. */
lab_link_t *lab_link_open(uv_loop_t *loop, const char *listen, const char *target,
                          const lab_link_ops_t *ops, void *ctx);
/** Sets the address that new connections are forwarded to. */
void lab_link_set_target(lab_link_t *link, const char *target);
/** Stops listening and resets all connections, as if the server had crashed. */
void lab_link_close(lab_link_t *link);
/** Open connections drop all traffic from now on without being closed; new ones work. */
void lab_link_blackhole(lab_link_t *link);
/** Must be called when the result of `mode` has changed. */
void lab_link_mode_changed(lab_link_t *link);

#endif
