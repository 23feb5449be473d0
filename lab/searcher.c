/** `tealspar-lab searcher`: stand-in searchers for the declared backends, many in one process. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "searcher_model.h"
#include "tealspar/command.h"
#include "tealspar/declarations_file.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 11
#define BODY_BYTES_MAX 65536
#define REQUEST_TIMEOUT_MS 5000
#define JOURNAL_FLUSH_MS 100

static FILE *journal;

static void flush_journal(uv_timer_t *timer)
{
    if (journal != NULL) {
        fflush(journal);
    }
}

static void handle_stop_signal(uv_signal_t *handle, int number)
{
    uv_stop(handle->loop);
}

static bool open_searcher(uv_loop_t *loop, const ts_backend_t *backend,
                          const lab_service_t *service, uint64_t seed)
{
    lab_searcher_t *searcher = lab_searcher_create(loop, backend, service, seed, journal);
    ts_http_limits_t limits = {BODY_BYTES_MAX, REQUEST_TIMEOUT_MS, backend->connections};
    ts_error_t error = ts_http_server_open(&searcher->server, loop, backend->address, &limits,
                                           lab_searcher_handle, searcher);
    if (error != TS_OK) {
        fprintf(stderr, "searcher %s: cannot listen on %s: %s\n", backend->name, backend->address,
                ts_error_text(error));
    }
    return error == TS_OK;
}

static bool is_selected(const ts_backend_t *backend, const struct arg_str *zone,
                        const struct arg_str *name)
{
    return (zone->count == 0 || strcmp(backend->zone, zone->sval[0]) == 0) &&
           (name->count == 0 || strcmp(backend->name, name->sval[0]) == 0);
}

static int serve(uv_loop_t *loop)
{
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_timer_t flush;
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(loop, &terminate);
    uv_signal_start(&terminate, handle_stop_signal, SIGTERM);
    uv_signal_init(loop, &interrupt);
    uv_signal_start(&interrupt, handle_stop_signal, SIGINT);
    uv_timer_init(loop, &flush);
    uv_timer_start(&flush, flush_journal, JOURNAL_FLUSH_MS, JOURNAL_FLUSH_MS);
    printf("ready\n");
    fflush(stdout);
    uv_run(loop, UV_RUN_DEFAULT);
    if (journal != NULL) {
        fclose(journal);
    }
    return TS_EXIT_OK;
}

static int run_searcher(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("d", "declarations", "FILE", "declarations");
    struct arg_str *zone = arg_str0(NULL, "zone", "ZONE", "only the backends of this zone");
    struct arg_str *name = arg_str0(NULL, "backend", "NAME", "only this backend");
    struct arg_file *out = arg_file0(NULL, "journal", "FILE", "write a journal of requests");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed of the service times (1)");
    struct arg_dbl *mean = arg_dbl0(NULL, "service-ms", "MS", "mean service time (2)");
    struct arg_dbl *sigma =
        arg_dbl0(NULL, "sigma", "S", "standard deviation of its logarithm (0.4)");
    struct arg_dbl *stragglers = arg_dbl0(NULL, "stragglers", "PERCENT", "slow requests (0)");
    struct arg_dbl *factor =
        arg_dbl0(NULL, "factor", "F", "maximum slowdown of a slow request (50)");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, file,  zone,       name,   out, seed,
                               mean, sigma, stragglers, factor, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "stand-in searchers for the declared backends", &exit_code)) {
        lab_service_t service = {
            .mean_ms = mean->count > 0 ? mean->dval[0] : 2.0,
            .sigma = sigma->count > 0 ? sigma->dval[0] : 0.4,
            .straggler_percent = stragglers->count > 0 ? stragglers->dval[0] : 0.0,
            .straggler_factor = {10.0, factor->count > 0 ? factor->dval[0] : 50.0},
        };
        ts_declarations_t *declarations = ts_declarations_load_file(file->filename[0]);
        exit_code = declarations == NULL ? TS_EXIT_USAGE : TS_EXIT_OK;
        journal = out->count > 0 ? fopen(out->filename[0], "w") : NULL;
        uv_loop_t *loop = uv_default_loop();
        for (unsigned i = 0; declarations != NULL && i < declarations->backends_count; i++) {
            const ts_backend_t *backend = &declarations->backends[i];
            uint64_t start = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
            if (is_selected(backend, zone, name) &&
                !open_searcher(loop, backend, &service, start)) {
                exit_code = TS_EXIT_FAILURE;
            }
        }
        exit_code = exit_code == TS_EXIT_OK ? serve(loop) : exit_code;
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_searcher};
TS_REGISTER_PLUGIN(lab_command_searcher, TS_PLUGIN_COMMAND, "searcher", 0, &command,
                   "stand-in searchers")
