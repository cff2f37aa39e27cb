"""Opening, accepting and closing the connections between VMs."""

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

# A connection that ends sooner counts as a failure, so that a peer that closes at once
# is not called again without delay.
SERVED_SECONDS = 1.0
# A relay that nobody links to takes the other zones for lost after 10 s, so others must
# return to it sooner after a pause. A VM that stays paused is declared dead by then.
RETURN_SECONDS = 5.0
# 16 children, the relays of 8 other zones and their second relays make 32 links; the
# rest is for contacts and for reconnects that overlap with the connection they replace.
MAX_ACCEPTED_CONNECTIONS = 128


class _NoPeer(enum.Enum):
    """Why a connection did not become a link."""

    SILENT = "silent"
    REFUSED = "refused"


@attrs.frozen
class Target:
    """A VM to connect to; `vm_id` is empty when only the address is known."""

    vm_id: str
    address: str


@attrs.frozen
class Dial:
    """A connection that is wanted to any one of some VMs.

    Parameters
    ----------
    key : str
        Tells the wanted connections apart.
    targets : tuple of Target
        VMs to try in turn.
    is_eager : bool
        Whether updates are pushed over it.
    keeps_mode : bool
        Whether the other VM decides on the mode once the link is open.
    """

    key: str
    targets: tuple[Target, ...]
    is_eager: bool
    keeps_mode: bool = False


class LinkListener(Protocol):
    """Told what happens on the links."""

    def on_open(self, peer: Peer) -> None:
        """Take a new link into use."""
        ...

    def on_close(self, peer: Peer) -> None:
        """Note that a link has ended."""
        ...

    def on_message(self, peer: Peer, body: Any) -> None:
        """Handle a message."""
        ...

    def on_unreachable(self, vm_id: str) -> None:
        """Note that a new connection to a VM was not answered."""
        ...

    def on_peer_full(self, addresses: tuple[str, ...]) -> None:
        """Note that a VM accepts no more connections and names others."""
        ...

    def referral_addresses(self) -> tuple[str, ...]:
        """Return addresses for a VM that is not accepted."""
        ...

    def on_id_conflict(self, hello: messages.Hello) -> None:
        """Note that another process says Hello with the id of this VM."""
        ...


class LinkManager:
    """Keeps the wanted connections open and accepts those of other VMs.

    Parameters
    ----------
    mesh : str
        Name of the mesh; connections from another mesh are refused.
    own : callable
        Returns the record of this VM.
    transport : Transport
        Opens and accepts streams.
    peers : PeerTable
        Filled with the open links.
    listener : LinkListener
        Told of links and messages.
    clock, rng
        Time and randomness.
    max_accepted : int
        Connections accepted at a time; further ones are answered with Full.
    options : NodeOptions
        Time for a Hello and delays of reconnects.
    traffic : LinkTraffic
        Told of connections, whose bytes it adds up.
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
        self._accepted = 0
        self._is_full = False
        self._dials_by_key: dict[str, Dial] = {}
        self._tasks_by_key: dict[str, asyncio.Task[None]] = {}
        self._return_at_by_key: dict[str, float] = {}
        self._returns_by_key: dict[str, asyncio.Task[bool]] = {}
        self._server: Listener | None = None

    async def listen(self) -> Result[Listener, ListenError]:
        """Accept connections of other VMs."""
        result = await self._transport.listen(self._own().address, self._accept)
        if isinstance(result, Ok):
            self._server = result.ok_value
        return result

    def want(self, dials: Iterable[Dial]) -> None:
        """Replace the wanted connections and open those that are missing."""
        self._dials_by_key = {dial.key: dial for dial in dials}
        for dial in self._dials_by_key.values():
            self._set_mode(dial)
            task = self._tasks_by_key.get(dial.key)
            if (task is None or task.done()) and not self._is_linked(dial.targets[0]):
                self._tasks_by_key[dial.key] = asyncio.create_task(self._keep(dial.key))
        self._return_to_first_targets()

    async def close(self) -> None:
        """Close all connections and stop accepting."""
        tasks = [*self._tasks_by_key.values(), *self._returns_by_key.values()]
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

    def target_of(self, dial: Dial) -> Target:
        """Return the target that a wanted connection leads to, or is to lead to."""
        linked = (target for target in dial.targets if self._is_linked(target))
        return next(linked, dial.targets[0])

    def _set_mode(self, dial: Dial) -> None:
        # Only where the connection leads to: other targets can be linked for another
        # reason, and a second eager link would bring everything twice.
        peer = self._peers.get(self.target_of(dial).vm_id)
        if peer is None or dial.keeps_mode or peer.is_eager == dial.is_eager:
            return
        peer.is_eager = dial.is_eager
        peer.stream.send(messages.LinkMode(dial.is_eager))

    def _return_to_first_targets(self) -> None:
        now = self._clock.monotonic()
        return_at_by_key: dict[str, float] = {}
        for key, dial in self._dials_by_key.items():
            first = dial.targets[0]
            if self.target_of(dial) is first:
                # Linked to the first one, or to none and being opened.
                continue
            at = self._return_at_by_key.get(key, now + RETURN_SECONDS)
            if at <= now:
                at = now + RETURN_SECONDS
                self._start_return(key, first, dial.is_eager)
            return_at_by_key[key] = at
        self._return_at_by_key = return_at_by_key

    def _start_return(self, key: str, first: Target, is_eager: bool) -> None:
        running = {k: t for k, t in self._returns_by_key.items() if not t.done()}
        self._returns_by_key = running
        if key not in running:
            running[key] = asyncio.create_task(self._open(first, is_eager))

    async def _keep(self, key: str) -> None:
        failures = 0
        while True:
            dial = self._dials_by_key.get(key)
            if dial is None:
                break
            target = dial.targets[failures % len(dial.targets)]
            if self._is_linked(target):
                break
            is_served = await self._open(target, dial.is_eager)
            failures = 0 if is_served else failures + 1
            delay = full_jitter(
                self._rng,
                failures,
                self._options.reconnect_base_seconds,
                self._options.reconnect_cap_seconds,
            )
            await self._clock.sleep(delay)
        self._tasks_by_key.pop(key, None)

    async def _open(self, target: Target, is_eager: bool) -> bool:
        connected = await self._transport.connect(target.address)
        if isinstance(connected, Err):
            events.debug("link_failed", peer=target.vm_id, address=target.address)
            self._listener.on_unreachable(target.vm_id)
            return False
        stream = connected.ok_value
        self._traffic.opened(stream)
        try:
            handshake = await self._handshake(stream, True, is_eager)
            if isinstance(handshake, Err):
                if handshake.err_value is _NoPeer.SILENT:
                    self._listener.on_unreachable(target.vm_id)
                return False
            peer = handshake.ok_value
            if target.vm_id not in ("", peer.vm_id):
                # Another VM has taken over the address.
                self._listener.on_unreachable(target.vm_id)
            started_at = self._clock.monotonic()
            await self._serve(peer)
            return self._clock.monotonic() - started_at >= SERVED_SECONDS
        finally:
            stream.close()
            self._traffic.ended(stream)

    async def _accept(self, stream: MessageStream) -> None:
        self._traffic.opened(stream)
        try:
            await self._accept_counted(stream)
        finally:
            self._traffic.ended(stream)

    async def _accept_counted(self, stream: MessageStream) -> None:
        if self._accepted >= self._max_accepted:
            self._report_full()
            stream.send(messages.Full(self._listener.referral_addresses()))
            return
        self._accepted += 1
        self._is_full = self._is_full and self._accepted > self._max_accepted // 2
        try:
            handshake = await self._handshake(stream, False, True)
            if isinstance(handshake, Ok):
                await self._serve(handshake.ok_value)
        finally:
            self._accepted -= 1
            stream.close()

    def _report_full(self) -> None:
        # One line for many connections at once, not one for each of them.
        if not self._is_full:
            self._is_full = True
            events.warning("connections_refused", limit=self._max_accepted)

    async def _handshake(
        self, stream: MessageStream, is_outbound: bool, is_eager: bool
    ) -> Result[Peer, "_NoPeer"]:
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
            return Err(_NoPeer.SILENT)
        if isinstance(received, Err):
            _log_end("", received.err_value)
            return Err(_NoPeer.SILENT)
        hello = received.ok_value
        if not self._is_accepted(hello):
            return Err(_NoPeer.REFUSED)
        peer = Peer(
            vm_id=hello.vm_id,
            region=hello.region,
            availability_zone=hello.availability_zone,
            stream=stream,
            last_received_at=self._clock.monotonic(),
            is_outbound=is_outbound,
            is_eager=is_eager if is_outbound else hello.is_eager,
        )
        self._traffic.greeted(peer)
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
                _log_end(peer.vm_id, received.err_value)
                return
            peer.last_received_at = self._clock.monotonic()
            body = received.ok_value
            if isinstance(body, messages.Goodbye):
                events.debug("link_ended", peer=peer.vm_id, reason=body.reason)
                return
            self._listener.on_message(peer, body)


def _log_end(vm_id: str, error: FrameError) -> None:
    if error.reason == "closed":
        events.debug("link_closed", peer=vm_id)
        return
    events.warning("link_broken", peer=vm_id, reason=error)
