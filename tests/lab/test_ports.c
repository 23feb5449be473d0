/**
 * Ports of test programs that run in parallel. A program that binds a socket to find a free port,
 * closes it and listens on the port later can be given the same port as another program. With six
 * programs in parallel, gateways failed with "an address cannot be listened on" in two of six runs
 * on a busy machine.
 */
#include "../test_support.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../gateway/fixture.h"

#define PROGRAMS 30
#define PORTS_PER_PROGRAM 150
#define PORTS_END 65536

/* Writes allocated ports to `ports_fd`, then waits until the other end of `exit_fd` is closed, so
 * that the ports of all programs stay reserved until all have been read. */
static void allocate_ports(int ports_fd, int exit_fd)
{
    char end = 0;
    for (unsigned i = 0; i < PORTS_PER_PROGRAM; i++) {
        unsigned port = fixture_next_port();
        if (write(ports_fd, &port, sizeof(port)) != sizeof(port))
            _exit(EXIT_FAILURE);
    }
    (void)!read(exit_fd, &end, 1);
    _exit(EXIT_SUCCESS);
}

static void test_parallel_programs_get_distinct_ports(void **state)
{
    static unsigned counts[PORTS_END];
    int ports_fd[2];
    int exit_fd[2];
    unsigned duplicates = 0;
    assert_int_equal(pipe(ports_fd), 0);
    assert_int_equal(pipe(exit_fd), 0);
    for (unsigned i = 0; i < PROGRAMS; i++) {
        if (fork() == 0) {
            close(exit_fd[1]);
            allocate_ports(ports_fd[1], exit_fd[0]);
        }
    }
    for (unsigned i = 0; i < PROGRAMS * PORTS_PER_PROGRAM; i++) {
        unsigned port = 0;
        assert_int_equal(read(ports_fd[0], &port, sizeof(port)), sizeof(port));
        assert_in_range(port, 1, PORTS_END - 1);
        duplicates += ++counts[port] > 1;
    }
    close(exit_fd[1]);
    for (unsigned i = 0; i < PROGRAMS; i++)
        (void)wait(NULL);
    assert_int_equal(duplicates, 0);
}

/* A program that uses up its block of ports (100, see lab/ports.c) reserves another one. */
static void test_further_blocks_are_reserved(void **state)
{
    unsigned last = 0;
    for (unsigned i = 0; i < 1000; i++) {
        unsigned port = fixture_next_port();
        assert_int_not_equal(port, last);
        last = port;
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_parallel_programs_get_distinct_ports),
        cmocka_unit_test(test_further_blocks_are_reserved),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
