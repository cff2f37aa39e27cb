"""Manages the connections between VMs: opening, accepting and closing them."""

import asyncio
import enum
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.errors import FrameError, ListenError
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.options import NodeOptions
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.traffic import LinkTraffic
from lacewingstair.vm.transport import Listener, MessageStream, Transport

# A connection that ends sooner counts as a failed attempt, so that reconnects to a peer
# that closes at once back off.
MIN_LINK_SECONDS = 1.0
# Shorter than UNREACHABLE_SECONDS (10 s), after which a relay without links to other
# zones reports them as lost: after a pause of the relay, its peers must reconnect to it
# before that. A VM that stays paused is declared dead by then.
PREFERRED_RETRY_SECONDS = 5.0
# A relay has up to 32 links: 16 children, and the first and second relays of 8 other
# zones. The rest is for contacts and for reconnects that overlap with the connection
# they replace.
MAX_ACCEPTED_CONNECTIONS = 128


class _HandshakeFailure(enum.Enum):
    """Reason for which a handshake failed."""

    NO_HELLO = "silent"
    REFUSED = "refused"


@attrs.frozen
class Target:
    """A VM to connect to; `vm_id` is empty if only the address is known."""

    vm_id: str
    address: str


@attrs.frozen
class WantedLink:
    """A link that should exist to one of several candidate VMs.

    Parameters
    ----------
    key : str
        Unique name of the wanted link.
    targets : tuple of Target
        Candidates in order of preference, tried round-robin.
    is_eager : bool
        Whether updates are pushed over the link.
    keeps_mode : bool
        Whether the mode of an open link is left to the other VM.
    """

    key: str
    targets: tuple[Target, ...]
    is_eager: bool
    keeps_mode: bool = False


class LinkListener(Protocol):
    """Callbacks for events on the links."""

    def on_open(self, peer: Peer) -> None:
        """Handle a new link."""
        ...

    def on_close(self, peer: Peer) -> None:
        """Handle the end of a link."""
        ...

    def on_message(self, peer: Peer, body: Any) -> None:
        """Handle a message."""
        ...

    def on_unreachable(self, vm_id: str) -> None:
        """Handle a VM that was not reached at its address."""
        ...

    def on_peer_full(self, addresses: tuple[str, ...]) -> None:
        """Handle a Full message, which names other VMs to connect to."""
        ...

    def referral_addresses(self) -> tuple[str, ...]:
        """Return the addresses to send to a VM whose connection is refused."""
        ...

    def on_id_conflict(self, hello: messages.Hello) -> None:
        """Handle a Hello from another process that uses the id of this VM."""
        ...


class LinkManager:
    """Maintains the wanted links and accepts connections from other VMs.

    Parameters
    ----------
    mesh : str
        Name of the mesh; connections from another mesh are refused.
    own : callable
        Returns the record of this VM.
    transport : Transport
        Opens and accepts message streams.
    peers : PeerTable
        Table of the open links, updated by the manager.
    listener : LinkListener
        Receives link events and messages.
    clock, rng
        Source of time and of random numbers.
    max_accepted : int
        Limit of concurrent inbound connections; further ones are answered with Full.
    options : NodeOptions
        Hello timeout and reconnect delays.
    traffic : LinkTraffic
        Counts the bytes of the connections.
    """

    def __init__(
        self,
        mesh: str,
        own: Callable[[], VmRecord],
        transport: Transport,
        peers: PeerTable,
        listener: LinkListener,
        clock: Clock,
        rng: random.Random,
        max_accepted: int,
        options: NodeOptions,
        traffic: LinkTraffic,
    ) -> None:
        self._traffic = traffic
        self._options = options
        self._mesh = mesh
        self._own = own
        self._transport = transport
        self._peers = peers
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._max_accepted = max_accepted
        self._accepted_count = 0
        self._is_full = False
        self._wanted_links_by_key: dict[str, WantedLink] = {}
        self._connect_tasks_by_key: dict[str, asyncio.Task[None]] = {}
        self._retry_at_by_key: dict[str, float] = {}
        self._retry_tasks_by_key: dict[str, asyncio.Task[bool]] = {}
        self._server: Listener | None = None

    async def listen(self) -> Result[Listener, ListenError]:
        """Start to accept connections from other VMs."""
        result = await self._transport.listen(self._own().address, self._accept)
        if isinstance(result, Ok):
            self._server = result.ok_value
        return result

    def set_wanted_links(self, wanted_links: Iterable[WantedLink]) -> None:
        """Replace the set of wanted links and open the missing ones."""
        self._wanted_links_by_key = {wanted.key: wanted for wanted in wanted_links}
        for wanted in self._wanted_links_by_key.values():
            self._update_link_mode(wanted)
            task = self._connect_tasks_by_key.get(wanted.key)
            if (task is None or task.done()) and not self._is_linked(wanted.targets[0]):
                self._connect_tasks_by_key[wanted.key] = asyncio.create_task(
                    self._maintain_link(wanted.key)
                )
        self._retry_preferred_targets()

    async def close(self) -> None:
        """Close all connections and stop accepting."""
        tasks = [
            *self._connect_tasks_by_key.values(),
            *self._retry_tasks_by_key.values(),
        ]
        for task in tasks:
            task.cancel()
        for peer in self._peers:
            peer.stream.send(messages.Goodbye("stopping"))
            peer.stream.close()
        if self._server is not None:
            await self._server.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _is_linked(self, target: Target) -> bool:
        return self._peers.get(target.vm_id) is not None

    def target_of(self, wanted: WantedLink) -> Target:
        """Return the first linked target of a wanted link, or the preferred one."""
        linked = (target for target in wanted.targets if self._is_linked(target))
        return next(linked, wanted.targets[0])

    def _update_link_mode(self, wanted: WantedLink) -> None:
        # Applies to one target only: other targets can be linked for another reason,
        # and a second eager link would deliver every update twice.
        peer = self._peers.get(self.target_of(wanted).vm_id)
        if peer is None or wanted.keeps_mode or peer.is_eager == wanted.is_eager:
            return
        peer.is_eager = wanted.is_eager
        peer.stream.send(messages.LinkMode(wanted.is_eager))

    def _retry_preferred_targets(self) -> None:
        now = self._clock.monotonic()
        retry_at_by_key: dict[str, float] = {}
        for key, wanted in self._wanted_links_by_key.items():
            preferred = wanted.targets[0]
            if self.target_of(wanted) is preferred:
                # Linked to the preferred target, or to none and still connecting.
                continue
            retry_at = self._retry_at_by_key.get(key, now + PREFERRED_RETRY_SECONDS)
            if retry_at <= now:
                retry_at = now + PREFERRED_RETRY_SECONDS
                self._start_preferred_retry(key, preferred, wanted.is_eager)
            retry_at_by_key[key] = retry_at
        self._retry_at_by_key = retry_at_by_key

    def _start_preferred_retry(
        self, key: str, preferred: Target, is_eager: bool
    ) -> None:
        running = {k: t for k, t in self._retry_tasks_by_key.items() if not t.done()}
        self._retry_tasks_by_key = running
        if key not in running:
            running[key] = asyncio.create_task(
                self._connect_and_serve(preferred, is_eager)
            )

    async def _maintain_link(self, key: str) -> None:
        failures = 0
        while True:
            wanted = self._wanted_links_by_key.get(key)
            if wanted is None:
                break
            target = wanted.targets[failures % len(wanted.targets)]
            if self._is_linked(target):
                break
            is_stable = await self._connect_and_serve(target, wanted.is_eager)
            failures = 0 if is_stable else failures + 1
            delay = full_jitter(
                self._rng,
                failures,
                self._options.reconnect_base_seconds,
                self._options.reconnect_cap_seconds,
            )
            await self._clock.sleep(delay)
        self._connect_tasks_by_key.pop(key, None)

    async def _connect_and_serve(self, target: Target, is_eager: bool) -> bool:
        connected = await self._transport.connect(target.address)
        if isinstance(connected, Err):
            events.debug("link_failed", peer=target.vm_id, address=target.address)
            self._listener.on_unreachable(target.vm_id)
            return False
        stream = connected.ok_value
        self._traffic.add_stream(stream)
        try:
            handshake = await self._handshake(stream, True, is_eager)
            if isinstance(handshake, Err):
                if handshake.err_value is _HandshakeFailure.NO_HELLO:
                    self._listener.on_unreachable(target.vm_id)
                return False
            peer = handshake.ok_value
            if target.vm_id not in ("", peer.vm_id):
                # Another VM now uses the address.
                self._listener.on_unreachable(target.vm_id)
            started_at = self._clock.monotonic()
            await self._serve(peer)
            return self._clock.monotonic() - started_at >= MIN_LINK_SECONDS
        finally:
            stream.close()
            self._traffic.remove_stream(stream)

    async def _accept(self, stream: MessageStream) -> None:
        self._traffic.add_stream(stream)
        try:
            await self._accept_within_limit(stream)
        finally:
            self._traffic.remove_stream(stream)

    async def _accept_within_limit(self, stream: MessageStream) -> None:
        if self._accepted_count >= self._max_accepted:
            self._report_full()
            stream.send(messages.Full(self._listener.referral_addresses()))
            return
        self._accepted_count += 1
        self._is_full = self._is_full and self._accepted_count > self._max_accepted // 2
        try:
            handshake = await self._handshake(stream, False, True)
            if isinstance(handshake, Ok):
                await self._serve(handshake.ok_value)
        finally:
            self._accepted_count -= 1
            stream.close()

    def _report_full(self) -> None:
        # Logs a burst of refused connections once.
        if not self._is_full:
            self._is_full = True
            events.warning("connections_refused", limit=self._max_accepted)

    async def _handshake(
        self, stream: MessageStream, is_outbound: bool, is_eager: bool
    ) -> Result[Peer, "_HandshakeFailure"]:
        own = self._own()
        stream.send(
            messages.Hello(
                self._mesh,
                own.vm_id,
                own.region,
                own.availability_zone,
                own.incarnation,
                is_eager,
            )
        )
        seconds = self._options.replacement_seconds
        try:
            async with asyncio.timeout(seconds):
                received = await stream.receive()
        except TimeoutError:
            events.info("hello_timeout", seconds=seconds)
            return Err(_HandshakeFailure.NO_HELLO)
        if isinstance(received, Err):
            _log_stream_end("", received.err_value)
            return Err(_HandshakeFailure.NO_HELLO)
        hello = received.ok_value
        if not self._is_accepted(hello):
            return Err(_HandshakeFailure.REFUSED)
        peer = Peer(
            vm_id=hello.vm_id,
            region=hello.region,
            availability_zone=hello.availability_zone,
            stream=stream,
            last_received_at=self._clock.monotonic(),
            is_outbound=is_outbound,
            is_eager=is_eager if is_outbound else hello.is_eager,
        )
        self._traffic.set_peer(peer)
        return Ok(peer)

    def _is_accepted(self, hello: Any) -> bool:
        if isinstance(hello, messages.Full):
            events.debug("peer_full")
            self._listener.on_peer_full(hello.addresses)
            return False
        if not isinstance(hello, messages.Hello) or hello.mesh != self._mesh:
            events.warning("peer_refused", hello=f"{hello!r:.200}")
            return False
        if hello.protocol != messages.PROTOCOL_VERSION:
            events.warning("peer_refused", peer=hello.vm_id, protocol=hello.protocol)
            return False
        if hello.vm_id == self._own().vm_id:
            self._listener.on_id_conflict(hello)
            return False
        return True

    async def _serve(self, peer: Peer) -> None:
        replaced = self._peers.admit(peer)
        if replaced is peer:
            return
        if replaced is not None:
            replaced.stream.close()
        try:
            self._listener.on_open(peer)
            await self._receive_all(peer)
        finally:
            if self._peers.remove(peer):
                self._listener.on_close(peer)

    async def _receive_all(self, peer: Peer) -> None:
        while True:
            received = await peer.stream.receive()
            if isinstance(received, Err):
                _log_stream_end(peer.vm_id, received.err_value)
                return
            peer.last_received_at = self._clock.monotonic()
            body = received.ok_value
            if isinstance(body, messages.Goodbye):
                events.debug("link_ended", peer=peer.vm_id, reason=body.reason)
                return
            self._listener.on_message(peer, body)


def _log_stream_end(vm_id: str, error: FrameError) -> None:
    if error.reason == "closed":
        events.debug("link_closed", peer=vm_id)
        return
    events.warning("link_broken", peer=vm_id, reason=error)
