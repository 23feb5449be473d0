/** Version of the program and of the protocol between nodes. */
#ifndef TEALSPAR_VERSION_H
#define TEALSPAR_VERSION_H

#define TS_VERSION "0.1.0"
/** Nodes refuse frames with another protocol version. */
#define TS_PROTOCOL 2U

#endif
