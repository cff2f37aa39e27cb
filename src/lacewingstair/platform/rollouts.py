"""Orders to move a service to another version, and the reports on them."""

import json

from result import Err, Ok, Result

from lacewingstair.errors import Fault
from lacewingstair.platform.durations import parse_duration
from lacewingstair.staged_rollouts.policy import Order, Stage

KEY_PREFIX = "rollout/"
_WORDS_BY_STAGE = {
    Stage.TRIAL: "active",
    Stage.LOAD_TRIAL: "active",
    Stage.SHIFTED: "active",
    Stage.COMPLETED: "completed",
    Stage.ROLLED_BACK: "rolled_back",
}
_FINAL_STAGES_BY_WORD = {
    "completed": Stage.COMPLETED,
    "rolled_back": Stage.ROLLED_BACK,
}


def decode_order(key: str, value: bytes, offset: int) -> Result[Order, Fault]:
    """Return the order in a record of the operators.

    Parameters
    ----------
    key : str
        Key of the record.
    value : bytes
        The document.
    offset : int
        Place of the record, which tells an order from a later one for the service.
    """
    try:
        document = json.loads(value)
        service, version = document["service"], document["target_version"]
        if not isinstance(service, str) or not isinstance(version, str):
            raise ValueError(f"service {service!r:.40} or version {version!r:.40}")
        duration = parse_duration("duration", document["duration"])
    except (KeyError, TypeError, ValueError) as error:
        return Err(Fault(key, f"{type(error).__name__}: {error!s:.100}"))
    if isinstance(duration, Err):
        return duration
    return Ok(Order(service, version, duration.ok_value / 1000, offset))


def encode_status(order: Order, stage: Stage) -> bytes:
    """Return the report that operators read."""
    document = {
        "service": order.service,
        "state": _WORDS_BY_STAGE[stage],
        "target_version": order.target_version,
    }
    return json.dumps(document).encode()


def decode_final_stage(value: bytes, order: Order) -> Stage | None:
    """Return the final stage that a report states for an order, or None."""
    try:
        document = json.loads(value)
        if document["target_version"] != order.target_version:
            return None
        return _FINAL_STAGES_BY_WORD.get(document["state"])
    except (KeyError, TypeError, ValueError, AttributeError):
        # A report that cannot be read says nothing; it is written anew.
        return None


def status_key(service: str) -> str:
    """Return the key of the report about a service."""
    return f"{KEY_PREFIX}{service}"
