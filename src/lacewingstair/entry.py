"""Entry point of the daemon's process.

What cannot wait until the program is loaded is done first: reload signals are held back
(`reload_signals`), and callers can connect (`early_listening`).
"""

import gc
import sys


def main() -> None:
    """Entry point of ``lacewingstaird SETTINGS_FILE``."""
    from lacewingstair import reload_signals

    reload_signals.hold()
    # Nearly all that is loaded stays; `garbage_collection` turns collections on.
    gc.disable()
    from lacewingstair.early_listening import open_sockets
    from lacewingstair.tls import no_certificates

    sockets_by_address = open_sockets(sys.argv[1]) if len(sys.argv) == 2 else {}
    with no_certificates():
        import aiohttp  # noqa: F401 - loads certificates as it is imported
    from lacewingstair import process

    process.main(sockets_by_address)


if __name__ == "__main__":
    main()
