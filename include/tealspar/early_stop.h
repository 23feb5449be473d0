/**
 * Signals to a process that has begun and does not serve yet. Until its own handlers stand, a stop
 * would end it by the signal, which looks like a crash to whoever watches, and a change of settings
 * would end it too.
 */
#ifndef TEALSPAR_EARLY_STOP_H
#define TEALSPAR_EARLY_STOP_H

/**
 * From now on SIGTERM and SIGINT end the process with TS_EXIT_OK, as it has taken nothing yet, and
 * SIGHUP is passed over, as the settings are still to be read. For the begin of a command that goes
 * on until it is told to stop; its own handlers replace these.
 */
void ts_early_stop_begin(void);

#endif
