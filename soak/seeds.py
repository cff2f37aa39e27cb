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
# Runs with `--vms=120`; other numbers of VMs draw other faults from a seed.
LARGE_VMS = 120
CAUSES_BY_LARGE_SEED = {
    3002: "open: without a fault, calls to the store and to backend servers, which are "
    "stand-ins in the soak's process, time out, and VMs stay on version 2 for 19 s",
}
