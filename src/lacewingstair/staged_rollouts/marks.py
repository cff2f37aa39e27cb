"""What VMs tell each other about a rollout."""

import attrs

from lacewingstair.staged_rollouts.policy import Stage


@attrs.frozen
class RolloutMark:
    """How far a rollout is, as one VM tells another.

    Parameters
    ----------
    service : str
        What moves.
    order_offset : int
        Which order.
    stage : Stage
        How far it is.
    elapsed_seconds : float
        Time since the order.
    is_reported : bool
        Whether the operators' report says so.
    """

    service: str
    order_offset: int
    stage: Stage
    elapsed_seconds: float
    is_reported: bool
