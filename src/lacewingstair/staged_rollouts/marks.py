"""Progress of a rollout as exchanged between VMs."""

import attrs

from lacewingstair.staged_rollouts.policy import Stage


@attrs.frozen
class RolloutMark:
    """Progress of a rollout, sent from one VM to another.

    Parameters
    ----------
    service : str
        Service that is rolled out.
    order_offset : int
        Offset of the order.
    stage : Stage
        Stage that the rollout has reached.
    elapsed_seconds : float
        Time since the order.
    is_reported : bool
        Whether the report in the store has reached this stage.
    target_version : str
        Version that is rolled out.
    stage_seconds : float
        Time since the stage was entered.
    """

    service: str
    order_offset: int
    stage: Stage
    elapsed_seconds: float
    is_reported: bool
    target_version: str
    stage_seconds: float = 0.0
