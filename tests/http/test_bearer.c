/** The parser of bearer tokens, compared with a simple reference parser on random input. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/bearer.h"

#define RUNS 200000
#define TEXT_MAX 24

static ts_error_t find(const char *fields, ts_bearer_t *bearer, ts_http_message_t *message)
{
    char *text = g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", fields);
    ts_http_message_init(message, true, 4096, 16);
    (void)ts_http_message_feed(message, text, strlen(text));
    g_free(text);
    if (!message->is_complete)
        return TS_E_BAD_REQUEST; // rejected by the HTTP parser
    return ts_bearer_find(message, "Authorization", bearer);
}

/* Reference parser. RFC 6750: "Bearer" 1*SP 1*( ALPHA / DIGIT / "-._~+/" ) *"="; trailing blanks
 * are ignored. */
static char *parse_reference(const char *value)
{
    char *stripped = g_strchomp(g_strdup(value));
    char **words = g_strsplit_set(stripped, " ", -1);
    char *token = NULL;
    unsigned count = 0;
    for (unsigned i = 0; words[i] != NULL; i++) {
        if (*words[i] == '\0')
            continue;
        count++;
        if (count == 1 && g_ascii_strcasecmp(words[i], "Bearer") != 0)
            count = 99; // wrong scheme: never equals the valid count of 2
        if (count == 2)
            token = g_strdup(words[i]);
    }
    bool is_valid = count == 2 && g_regex_match_simple("^[A-Za-z0-9._~+/-]+=*$", token,
                                                       G_REGEX_DOLLAR_ENDONLY, 0);
    if (!is_valid)
        g_clear_pointer(&token, g_free);
    g_strfreev(words);
    g_free(stripped);
    return token;
}

static char random_char(GRand *random)
{
    static const char chars[] = "bearerBEARER    aZ09-._~+/==,;\"'\t:@\\";
    return chars[g_rand_int_range(random, 0, (gint32)sizeof(chars) - 1)];
}

/* Returns a value similar to a valid one; most have the correct scheme. */
static char *random_value(GRand *random)
{
    static const char *const prefixes[] = {"Bearer ", "bEARER  ", "Bearer", ""};
    GString *value = g_string_new(prefixes[g_rand_int_range(random, 0, G_N_ELEMENTS(prefixes))]);
    for (gint32 left = g_rand_int_range(random, 0, TEXT_MAX); left > 0; left--)
        g_string_append_c(value, random_char(random));
    char *text = g_strchug(g_string_free(value, FALSE));
    return text;
}

static void test_random_values_match_reference(void **state)
{
    GRand *random = g_rand_new_with_seed(4711);
    unsigned passed = 0;
    for (unsigned i = 0; i < RUNS; i++) {
        ts_http_message_t message;
        ts_bearer_t bearer = {0};
        char *value = random_value(random);
        char *fields = g_strdup_printf("authorization: %s\r\n", value);
        char *expected = parse_reference(value);
        bool is_found = find(fields, &bearer, &message) == TS_OK;
        bool is_same = is_found && expected != NULL && strlen(expected) == bearer.length &&
                       memcmp(expected, bearer.token, bearer.length) == 0;
        if (is_found != (expected != NULL) || (is_found && !is_same))
            fail_msg("'%s': %s, wanted %s", value, is_found ? "found" : "none",
                     expected == NULL ? "none" : expected);
        passed += is_found;
        ts_http_message_clear(&message);
        g_free(expected);
        g_free(fields);
        g_free(value);
    }
    assert_true(passed > RUNS / 50); // the random values include enough valid ones
    g_rand_free(random);
}

static void test_field_must_occur_exactly_once(void **state)
{
    static const char *const fields[] = {
        "", "Authorization: Bearer a\r\nAuthorization: Bearer a\r\n",
        "Authorization: Bearer a\r\nAUTHORIZATION: x\r\n", "Authorizations: Bearer a\r\n",
        "Authorization: Bearer a\r\n b\r\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        ts_http_message_t message;
        ts_bearer_t bearer;
        assert_true(find(fields[i], &bearer, &message) != TS_OK);
        ts_http_message_clear(&message);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random_values_match_reference),
        cmocka_unit_test(test_field_must_occur_exactly_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
