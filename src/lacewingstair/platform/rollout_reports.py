"""Writes the operators' reports on rollouts to the store."""

from result import Err, Ok, Result

from lacewingstair.errors import StoreConflict, StoreUnavailable
from lacewingstair.platform.rollouts import (
    decode_final_stage,
    encode_status,
    status_key,
)
from lacewingstair.platform.store import STATUS_TOPIC, MetadataStore
from lacewingstair.staged_rollouts.policy import Order, Stage


class RolloutReports:
    """Reports on rollouts; the first final one of an order stays.

    Parameters
    ----------
    store : MetadataStore
        Client of the store.
    """

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def write(
        self, order: Order, stage: Stage
    ) -> Result[Stage, StoreUnavailable | StoreConflict]:
        """Write a report unless a final one stands; return the stage that stands."""
        newest = await self._store.newest(STATUS_TOPIC)
        if isinstance(newest, Err):
            return newest
        page = newest.ok_value
        key = status_key(order.service)
        for record in page.records:
            if record.key != key or record.value is None:
                continue
            final = decode_final_stage(record.value, order)
            if final is not None:
                return Ok(final)
        value = encode_status(order, stage)
        written = await self._store.append(STATUS_TOPIC, key, value, page.next_offset)
        return written.map(lambda _: stage)
