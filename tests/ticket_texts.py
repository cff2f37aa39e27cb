"""JSON texts of tickets."""

import json

SERVICES = {"board": {"versions": ["v1", "v2"], "current": "v1"}}
ROLLOUT = {
    "service": "board",
    "from_version": "v1",
    "to_version": "v2",
    "start": "2026-01-31T10:00:00Z",
    "end_by": "2026-01-31T11:00:00Z",
}


def ticket(number, **sections):
    return json.dumps({"number": number, **sections})


def first_ticket(number=1):
    return ticket(number, services=SERVICES, rollouts={"move": ROLLOUT})
