/** Version of the programs and of the protocol between nodes. */
#ifndef TEALSPAR_VERSION_H
#define TEALSPAR_VERSION_H

#define TS_VERSION "0.1.0"
/** Nodes refuse frames of another protocol number. */
#define TS_PROTOCOL 2U

#endif
