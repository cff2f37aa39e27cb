"""Follows both topics of the store: the operators' records and the entries of VMs."""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from lacewingstair.background_tasks import Run
from lacewingstair.metadata.freshness import Freshness
from lacewingstair.metadata.operator_reading import OperatorReading
from lacewingstair.metadata.positions import era_of, position_of
from lacewingstair.metadata.store_era import StoreEra
from lacewingstair.metadata.store_watch import StoreWatch, Turn, WatchedTopic
from lacewingstair.metadata.tail import KeyedTail, Record
from lacewingstair.platform.store import (
    MESH_TOPIC,
    OPERATOR_TOPIC,
    MetadataStore,
)
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.call_messages import StoreChecked, StoreTopic
from lacewingstair.vm.entries import VmEntry
from lacewingstair.vm.record_fetcher import RecordFetcher
from lacewingstair.vm.registration import Registration
from lacewingstair.vm.store_readers import reader_rank

# Waits of reads. `StoreWatch` finds out sooner if their connections have gone silent.
CONFIGURATION_WAIT_SECONDS = 10.0
MESH_WAIT_SECONDS = 25.0
# Versions and entries in quick succession are read together.
CONFIGURATION_BATCH_SECONDS = 0.8
MESH_BATCH_SECONDS = 1.5
# VMs that do not read the store for others learn of entries on their links first. What
# only the store tells them is that a late write has replaced their own entry there.
RELAXED_MESH_BATCH_SECONDS = 15.0

TakeRecords = Callable[[Iterable[Record], int], None]


class StoreFollower:
    """Reads both topics, and checks in turn with the other VMs where they end.

    Parameters
    ----------
    store : MetadataStore
        Client of the store.
    take_operator_records, take_entries : callable
        Called with newer records of a topic and the offset up to which it was read.
    freshness : Freshness
        Keeps the proofs that this VM holds the newest of the operators' records.
    registration : Registration
        Owns the entry of this VM.
    links : CallLinks
        Links to other VMs.
    fetcher : RecordFetcher
        Fetches records from other VMs.
    broadcast : callable
        Sends a message to all other VMs.
    on_reading_change : callable
        Called when this VM starts or stops reading the operators' records.
    clock, rng
        Clock and random generator.
    era : StoreEra, optional
        Keeps the era of the store.

    Attributes
    ----------
    operator_reading : OperatorReading
        Reads the operators' records while this VM is elected to.
    """

    def __init__(
        self,
        store: MetadataStore,
        take_operator_records: TakeRecords,
        take_entries: TakeRecords,
        freshness: Freshness,
        registration: Registration,
        links: CallLinks,
        fetcher: RecordFetcher,
        broadcast: Callable[[StoreChecked], None],
        on_reading_change: Callable[[], None],
        clock: Clock,
        rng: random.Random,
        era: StoreEra | None = None,
    ) -> None:
        self._era = era or StoreEra(clock)
        self._era.subscribe(self._note_era)
        self._freshness = freshness
        self._registration = registration
        self._links = links
        self._broadcast = broadcast
        self._clock = clock
        self._operator_tail = KeyedTail(
            store,
            OPERATOR_TOPIC,
            take_operator_records,
            clock,
            rng,
            CONFIGURATION_WAIT_SECONDS,
            lambda: CONFIGURATION_BATCH_SECONDS,
            freshness.note_end,
        )
        self._mesh_tail = KeyedTail(
            store,
            MESH_TOPIC,
            take_entries,
            clock,
            rng,
            MESH_WAIT_SECONDS,
            self._mesh_pause_seconds,
        )
        self.operator_reading = OperatorReading(
            self._operator_tail,
            self._entry,
            links,
            fetcher,
            on_reading_change,
            clock,
        )
        self._watch = StoreWatch(
            self._watched(self._operator_tail, StoreTopic.OPERATORS),
            self._watched(self._mesh_tail, StoreTopic.ENTRIES),
            self._turn,
            lambda: freshness.heard_at,
            clock,
            rng,
        )

    @property
    def has_read_entries(self) -> bool:
        """Whether the entries of VMs have been read since the start."""
        return self._mesh_tail.has_read

    def runs_by_name(self) -> Mapping[str, Run]:
        """Return what has to run, each in a task of its own, until cancelled."""
        return {
            "operator_reading": self.operator_reading.run,
            "entries_reading": self._mesh_tail.run,
            "store_watch": self._watch.run,
        }

    def skip_to(self, offset: int) -> None:
        """Go on at an offset, as earlier records were received from another VM."""
        self.operator_reading.skip_to(offset)

    def take_check(
        self, vm_id: str, message: StoreChecked, late_seconds: float
    ) -> None:
        """Take what another VM has found out about a topic.

        Parameters
        ----------
        vm_id : str
            The other VM.
        message : StoreChecked
            What it has read.
        late_seconds : float
            How much longer than usual the message was on its way.
        """
        self._era.note(era_of(message.end_offset), vm_id)
        if message.topic is StoreTopic.ENTRIES:
            self._watch.note_entries_check()
            self._mesh_tail.note_end(message.end_offset)
            return
        age_seconds = message.age_ms / 1000 + late_seconds
        read_at = self._clock.monotonic() - age_seconds
        self._freshness.note_end(message.end_offset, read_at, vm_id)
        self._operator_tail.note_end(message.end_offset)

    def _note_era(self, era: int) -> None:
        """End waiting reads at positions of an earlier era, which may never return."""
        for tail in (self._operator_tail, self._mesh_tail):
            tail.note_end(position_of(era, 0))

    def log_fields(self) -> Mapping[str, Any]:
        """Return fields for the log that tell how this VM reads the store."""
        answered_ago = self._clock.monotonic() - self._operator_tail.answered_at
        is_known = answered_ago < math.inf
        return {
            "is_reader": self.operator_reading.is_reading,
            "store_answered_ms_ago": round(answered_ago * 1000) if is_known else None,
        }

    def _watched(self, tail: KeyedTail, topic: StoreTopic) -> WatchedTopic:
        """Return a topic to check, of which the other VMs are told."""
        return WatchedTopic(
            tail.check,
            lambda end, read_at: self._announce_end(topic, end, read_at),
            tail.give_up_waiting,
        )

    def _announce_end(self, topic: StoreTopic, end_offset: int, read_at: float) -> None:
        """Tell the other VMs where a topic ends, and whether this one holds it all."""
        is_held = topic is StoreTopic.ENTRIES or self._freshness.holds_records_before(
            end_offset
        )
        now = self._clock.monotonic()
        age_ms, sent_at_ms = round((now - read_at) * 1000), round(now * 1000)
        self._broadcast(StoreChecked(topic, end_offset, is_held, age_ms, sent_at_ms))

    def _turn(self) -> Turn:
        own_rank = reader_rank(self._entry())
        linked = (link.entry for link in self._links if link.is_connected)
        ranks = [reader_rank(entry) for entry in linked if not entry.is_leaving]
        return Turn(sum(rank < own_rank for rank in ranks), 1 + len(ranks))

    def _mesh_pause_seconds(self) -> float:
        """Return how long changes of entries are collected before the next read.

        Of two VMs that start together, the one whose entry is written later finds the
        other's if it reads after that, and then each has a link to the other.
        """
        written_at = self._registration.first_written_at
        has_seen_all = (
            written_at is not None and self._mesh_tail.read_began_at >= written_at
        )
        if has_seen_all and not self.operator_reading.is_reading:
            return RELAXED_MESH_BATCH_SECONDS
        return MESH_BATCH_SECONDS

    def _entry(self) -> VmEntry:
        return self._registration.entry
