/**
 * Cost of nng between two processes over loopback TCP, push to pull: CPU time per message, with
 * nng's threads free to use all cores and with each process pinned to one core, and memory per idle
 * connection at both ends.
 */
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <sched.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define URL "tcp://127.0.0.1:29871"
#define MESSAGES 60000
#define CONNECTIONS 300
#define US_PER_S 1e6

static double cpu_seconds(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / US_PER_S;
}

static double wall_seconds(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static long resident_kb(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    long total = 0;
    long resident = 0;
    if (file == NULL || fscanf(file, "%ld %ld", &total, &resident) != 2) {
        resident = 0;
    }
    if (file != NULL) {
        fclose(file);
    }
    return resident * sysconf(_SC_PAGESIZE) / 1024;
}

static void pin_to_core(int core)
{
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core, &set);
    if (core >= 0) {
        sched_setaffinity(0, sizeof(set), &set);
    }
}

/* Written by the receiving process to its parent through a pipe. */
typedef struct receiver_result {
    double seconds;
    double cpu;
    long memory_kb; /* growth of resident memory with all connections open */
} receiver_result_t;

static void receive(int core, int results)
{
    nng_socket socket;
    receiver_result_t result = {0};
    pin_to_core(core);
    nng_pull0_open(&socket);
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, 1024);
    nng_listen(socket, URL, NULL, 0);
    double begin = 0;
    double cpu = 0;
    for (int i = 0; i < MESSAGES; i++) {
        nng_msg *message = NULL;
        if (nng_recvmsg(socket, &message, 0) != 0) {
            break;
        }
        nng_msg_free(message);
        if (i == 0) {
            begin = wall_seconds();
            cpu = cpu_seconds();
        }
    }
    result.seconds = wall_seconds() - begin;
    result.cpu = cpu_seconds() - cpu;
    ssize_t written = write(results, &result, sizeof(result));
    _exit(written == sizeof(result) ? 0 : 1);
}

static double send_all(int core, size_t size)
{
    nng_socket socket;
    pin_to_core(core);
    nng_push0_open(&socket);
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, 256);
    nng_dial(socket, URL, NULL, 0);
    double cpu = cpu_seconds();
    for (int i = 0; i < MESSAGES; i++) {
        nng_msg *message = NULL;
        nng_msg_alloc(&message, size);
        memset(nng_msg_body(message), i, size);
        if (nng_sendmsg(socket, message, 0) != 0) {
            nng_msg_free(message);
        }
    }
    cpu = cpu_seconds() - cpu;
    sleep(1); /* lets nng send the buffered messages */
    return cpu;
}

static void measure_throughput(const char *label, int sender_core, int receiver_core, size_t size)
{
    int pipe_fds[2];
    int sender_fds[2];
    receiver_result_t result = {0};
    double sender_cpu = 0;
    if (pipe(pipe_fds) != 0 || pipe(sender_fds) != 0) {
        return;
    }
    if (fork() == 0) {
        receive(receiver_core, pipe_fds[1]);
    }
    usleep(200000);
    if (fork() == 0) {
        double cpu = send_all(sender_core, size);
        ssize_t written = write(sender_fds[1], &cpu, sizeof(cpu));
        _exit(written == sizeof(cpu) ? 0 : 1);
    }
    ssize_t got = read(pipe_fds[0], &result, sizeof(result));
    got += read(sender_fds[0], &sender_cpu, sizeof(sender_cpu));
    while (wait(NULL) > 0) {
    }
    if (got > 0) {
        printf("| %s, %zu B | %.0f | %.1f | %.1f |\n", label, size, MESSAGES / result.seconds,
               result.cpu / MESSAGES * US_PER_S, sender_cpu / MESSAGES * US_PER_S);
    }
    fflush(stdout);
}

static void accept_idle(int results)
{
    nng_socket socket;
    nng_pull0_open(&socket);
    nng_listen(socket, URL, NULL, 0);
    usleep(300000);
    long before = resident_kb();
    sleep(4);
    receiver_result_t result = {0, 0, resident_kb() - before};
    ssize_t written = write(results, &result, sizeof(result));
    _exit(written == sizeof(result) ? 0 : 1);
}

static void measure_memory(void)
{
    int fds[2];
    receiver_result_t result = {0};
    static nng_socket sockets[CONNECTIONS];
    if (pipe(fds) != 0) {
        return;
    }
    if (fork() == 0) {
        accept_idle(fds[1]);
    }
    usleep(800000);
    if (fork() == 0) {
        nng_push0_open(&sockets[0]);
        nng_dial(sockets[0], URL, NULL, 0);
        long before = resident_kb();
        for (int i = 1; i < CONNECTIONS; i++) {
            nng_push0_open(&sockets[i]);
            nng_dial(sockets[i], URL, NULL, 0);
        }
        printf("| memory per dialled idle connection | %.1f KB |\n",
               (double)(resident_kb() - before) / CONNECTIONS);
        fflush(stdout);
        sleep(4);
        _exit(0);
    }
    ssize_t got = read(fds[0], &result, sizeof(result));
    if (got > 0) {
        printf("| memory per accepted idle connection | %.1f KB |\n",
               (double)result.memory_kb / CONNECTIONS);
    }
    fflush(stdout);
    while (wait(NULL) > 0) {
    }
}

int main(void)
{
    printf("| push to pull | messages/s | receiver, us CPU | sender, us CPU |\n");
    printf("| --- | --- | --- | --- |\n");
    fflush(stdout);
    measure_throughput("threads on all cores", -1, -1, 200);
    measure_throughput("threads on all cores", -1, -1, 8000);
    measure_throughput("each process on one core", 1, 2, 200);
    measure_throughput("each process on one core", 1, 2, 8000);
    printf("\n| %d idle connections | |\n| --- | --- |\n", CONNECTIONS);
    fflush(stdout);
    measure_memory();
    return 0;
}
