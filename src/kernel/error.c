/** Names and descriptions of the error codes. */
#include "tealspar/error.h"

const char *ts_error_name(ts_error_t error)
{
    switch (error) {
    case TS_OK:
        return "ok";
#define TS_ERROR_NAME(symbol, number, name, text)                                                  \
    case symbol:                                                                                   \
        return name;
        TS_ERROR_TABLE(TS_ERROR_NAME)
#undef TS_ERROR_NAME
    }
    return "unknown";
}

const char *ts_error_text(ts_error_t error)
{
    switch (error) {
    case TS_OK:
        return "success";
#define TS_ERROR_TEXT(symbol, number, name, text)                                                  \
    case symbol:                                                                                   \
        return text;
        TS_ERROR_TABLE(TS_ERROR_TEXT)
#undef TS_ERROR_TEXT
    }
    return "an error that is not listed";
}
