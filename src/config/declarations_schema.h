/** The libcyaml schema of declarations. */
#ifndef TEALSPAR_DECLARATIONS_SCHEMA_H
#define TEALSPAR_DECLARATIONS_SCHEMA_H

#include <cyaml/cyaml.h>

/** Schema of a document, which is loaded as a ts_declarations_t. */
extern const cyaml_schema_value_t ts_declarations_schema;

#endif
