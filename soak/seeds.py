"""Seeds that have failed, with their cause; ``python -m soak --kept`` runs them.

What a seed draws changes when faults are added, so an older seed repeats its schedule
only on the code of its time.
"""

KEPT_SECONDS = 15.0
CAUSES_BY_SEED = {
    1003: "a reload signal ended a process that had just been started",
    1026: "a reload signal ended a process that had just been started",
    1043: "a reload signal ended a process that had just been started",
}
