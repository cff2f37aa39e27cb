"""Reload signals of a process that starts.

A reload signal ends a process that has no handler yet. It can come as the process is
started again, and loading the program takes a good part of a second, so the signal is
held back from the first moment until there is a handler.
"""

import signal


def hold() -> None:
    """Let reload signals wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release() -> None:
    """Deliver reload signals, the ones that have waited first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
