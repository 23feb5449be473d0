/**
 * Ports of test programs that run at once. Two programs that each look whether a port is free, and
 * close it again before they listen, give the same one out: gateways of six programs at a time
 * ended with "an address cannot be listened on", in two of six runs beside a busy machine.
 */
#include "../test_support.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../gateway/fixture.h"

#define PROGRAMS 30
#define PORTS_EACH 150
#define PORTS_END 65536

/* Draws ports, tells them, and lives on until the other end of `stay` is closed. */
static void draw_ports(int told, int stay)
{
    char end = 0;
    for (unsigned i = 0; i < PORTS_EACH; i++) {
        unsigned port = fixture_next_port();
        if (write(told, &port, sizeof(port)) != sizeof(port))
            _exit(EXIT_FAILURE);
    }
    (void)!read(stay, &end, 1);
    _exit(EXIT_SUCCESS);
}

static void test_programs_at_once_get_other_ports(void **state)
{
    static unsigned times[PORTS_END];
    int told[2];
    int stay[2];
    unsigned twice = 0;
    assert_int_equal(pipe(told), 0);
    assert_int_equal(pipe(stay), 0);
    for (unsigned i = 0; i < PROGRAMS; i++) {
        if (fork() == 0) {
            close(stay[1]);
            draw_ports(told[1], stay[0]);
        }
    }
    for (unsigned i = 0; i < PROGRAMS * PORTS_EACH; i++) {
        unsigned port = 0;
        assert_int_equal(read(told[0], &port, sizeof(port)), sizeof(port));
        assert_in_range(port, 1, PORTS_END - 1);
        twice += ++times[port] > 1;
    }
    close(stay[1]);
    for (unsigned i = 0; i < PROGRAMS; i++)
        (void)wait(NULL);
    assert_int_equal(twice, 0);
}

/* A program that needs more ports than it took at first goes on. */
static void test_ports_do_not_run_out(void **state)
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
        cmocka_unit_test(test_programs_at_once_get_other_ports),
        cmocka_unit_test(test_ports_do_not_run_out),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
