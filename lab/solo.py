"""One balancer in this process, with a fixed configuration and no platform."""

import collections.abc
import contextlib
import dataclasses
import datetime
import itertools
import os
import typing

import anyio
import anyio.abc
import anyio.streams.buffered

from basilgate import (
    balancer,
    controlmessages,
    membership,
    metrics,
    settings,
    storedobjects,
    tokens,
    wire,
)
from peerproto import ttypes

SECRET = "5a" * 32
KEY = bytes(range(32))
SERVICE = 1
OTHER_SERVICE = 2
TARGET = 11
# The second member is its home, if there is one.
OTHER_TARGET = 103
DOMAIN = "suceava"
OTHER_DOMAIN = "radauti"
HOST = "solo"
# With this name the balancer, and not the second member, is home of the target.
PEER = "second"
PEER_INCARNATION = 1_000
START_LIMIT_S = 10.0
NEVER = 4_000_000_000

NUMBERS = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Solo:
    """The balancer, and what a test needs to speak with it.

    `peer` is the socket of a second member that nothing else stands behind.
    """

    balancer: balancer.Balancer
    codec: controlmessages.Codec
    caller: anyio.abc.UDPSocket
    peer: anyio.abc.UDPSocket

    @property
    def callers(self) -> tuple[str, int]:
        """Address that takes frames."""
        return settings.split_address(self.balancer.settings.listen.callers)

    @property
    def peers(self) -> tuple[str, int]:
        """Address that takes control messages."""
        return settings.split_address(self.balancer.settings.listen.peers)

    @property
    def admin(self) -> str:
        """Address of the admin interface."""
        return self.balancer.settings.listen.admin

    def token(self, flow: int, service: int = SERVICE, expires_s: int = NEVER) -> bytes:
        """Return a token for the target."""
        placement = tokens.Placement(service, TARGET, 1, expires_s)
        return tokens.mint(self.balancer.ring, placement, flow)

    def heartbeat(self, **changes: typing.Any) -> typing.Any:
        """Return a heartbeat of the second member, with fields changed."""
        fields = {
            "host": PEER,
            "incarnation": PEER_INCARNATION,
            "epoch": self.balancer.members.epoch,
            "sent_us": int(anyio.current_time() * membership.MICROSECONDS_PER_S),
            "echo_us": 0,
            "config_revision": 0,
            "config_digest": 0,
            "leaving": False,
        }
        return ttypes.Heartbeat(**{**fields, **changes})

    def handover(self, **changes: typing.Any) -> typing.Any:
        """Return an empty handover of the target, with fields changed."""
        fields = {
            "host": PEER,
            "incarnation": PEER_INCARNATION,
            "epoch": 1,
            "target": TARGET,
            "records": [],
            "queued": [],
            "flows": [],
            "authority_ms": 0,
            "incomplete_until_ms": 0,
            "serial": 1,
            "former_host": "",
            "former_incarnation": 0,
        }
        return ttypes.Handover(**{**fields, **changes})

    async def send_control(self, field: str, message: typing.Any) -> bytes:
        """Send a control message from the second member; return the datagram."""
        datagram = self.codec.encode(
            field, message, controlmessages.context_of(self.peers)
        )
        await self.peer.sendto(datagram, *self.peers)
        return datagram

    async def open(self, flow: int) -> wire.Frame | None:
        """Open a flow; None if no answer came."""
        frame = wire.Frame(wire.Kind.OPEN, SERVICE, flow)
        with anyio.move_on_after(START_LIMIT_S):
            for _ in range(20):
                await self.caller.sendto(wire.encode(frame), *self.callers)
                with anyio.move_on_after(START_LIMIT_S / 20):
                    while True:
                        datagram, _ = await self.caller.receive()
                        reply = wire.decode(datagram).value_or(None)
                        if reply is not None and reply.flow == flow:
                            return reply
        return None

    def state(self) -> dict[str, typing.Any]:
        """Return what a refused message must leave alone."""
        members = self.balancer.members
        peer = members.peers[PEER]
        owner = self.balancer.owned_targets.owners.get(TARGET)
        return {
            "alive": (peer.suspect_at, peer.dead_at),
            "lease": (peer.granted_until, members.lease_until()),
            "echo": peer.newest_sent_us,
            "leaving": peer.leaving,
            "ended": set(members.ended_members),
            "reachable": dict(self.balancer.pings.reachable_until),
            "loaded": set(owner.applied_serials) if owner is not None else None,
        }

    async def count_heartbeat(self) -> bytes:
        """Send a heartbeat and wait until it counts; return the datagram."""
        peer = self.balancer.members.peers[PEER]
        before = peer.newest_sent_us
        datagram = await self.send_control("heartbeat", self.heartbeat())
        with anyio.fail_after(START_LIMIT_S):
            while peer.newest_sent_us == before:
                await anyio.sleep(0.01)
        return datagram

    async def play_back_handover(self) -> None:
        """Send a handover that was bound to the challenge of another connection."""
        context = controlmessages.CALL_CONTEXT + bytes(controlmessages.CHALLENGE_BYTES)
        recorded = self.codec.encode("handover", self.handover(), context)
        async with await anyio.connect_tcp(*self.peers) as stream:
            await stream.receive(controlmessages.CHALLENGE_BYTES)
            await controlmessages.send_stream(stream, recorded)
            with contextlib.suppress(anyio.EndOfStream):
                await stream.receive()

    async def take_call(self, stream: anyio.abc.ByteStream) -> str:
        """Accept one call as the second member; return the field of its message."""
        reader = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        challenge = bytes(controlmessages.CHALLENGE_BYTES)
        await stream.send(challenge)
        datagram = await controlmessages.receive_stream(reader)
        field, _ = self.codec.decode(
            datagram, controlmessages.CALL_CONTEXT + challenge
        ).unwrap()
        answer = ttypes.Acknowledgement(True, 0)
        context = controlmessages.REPLY_CONTEXT + challenge
        encoded = self.codec.encode("acknowledgement", answer, context)
        await controlmessages.send_stream(stream, encoded)
        return field


def dropped() -> dict[str, float]:
    """Return the datagrams dropped so far, by reason."""
    return {labels["reason"]: n for labels, n in metrics.DROPPED.get_all()}


def member(host: str, incarnation: int, address: str) -> storedobjects.Member:
    """Return a member of the view at the usual ports."""
    return storedobjects.Member(
        host=host,
        incarnation=incarnation,
        callers=f"{address}:7000",
        peers=f"{address}:7001",
        admin=f"{address}:7002",
    )


def configuration() -> dict[str, storedobjects.Written]:
    """Return a sheet with two services, and the token key."""
    part = storedobjects.SheetPart(
        domains=(storedobjects.SheetDomain(name=DOMAIN, number=1),),
        services=(
            storedobjects.SheetService(name="order-desk", id=SERVICE),
            storedobjects.SheetService(name="photo-store", id=OTHER_SERVICE),
        ),
        targets=tuple(
            storedobjects.SheetTarget(
                name=name,
                id=number,
                service="order-desk",
                failure_domain=DOMAIN,
                address="127.0.0.1:9",
                admin="127.0.0.1:9",
                connections=1_000_000,
            )
            for name, number in (
                ("order-desk-1", TARGET),
                ("order-desk-2", OTHER_TARGET),
            )
        ),
    )
    digest = storedobjects.content_address(part.model_dump(mode="json"))
    now = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
    return {
        "key/1": storedobjects.Key(id=1, secret=KEY.hex()),
        storedobjects.SHEET_PART_PREFIX + digest: part,
        storedobjects.SHEET: storedobjects.Sheet(
            date=now.date(), applied_at=now, parts=(digest,)
        ),
    }


def apply(
    process: balancer.Balancer, name: str, version: int, value: storedobjects.Written
) -> None:
    """Put an object into the replica."""
    stored = storedobjects.StoredObject(
        name, version, version, value.model_dump(mode="json")
    )
    process.store.apply(stored)


def write_view(process: balancer.Balancer, epoch: int, with_peer: bool) -> None:
    """Put a view into force that holds the balancer and maybe the second member."""
    address = settings.split_address(process.settings.listen.peers)[0]
    members = [process.members.me]
    if with_peer:
        members.append(member(PEER, PEER_INCARNATION, peer_address(address)))
    view = storedobjects.View(domain=DOMAIN, epoch=epoch, members=tuple(members))
    apply(process, storedobjects.VIEW_PREFIX + DOMAIN, epoch, view)


def peer_address(address: str) -> str:
    """Return the address of the second member beside the balancer's."""
    return address.rpartition(".")[0] + ".2"


@contextlib.asynccontextmanager
async def running(
    with_peer: bool = False, tls_files: settings.TlsSection | None = None
) -> collections.abc.AsyncIterator[Solo]:
    """Run a balancer in this process until the block ends.

    Raises
    ------
    Exception
        What ended a task of the balancer, as an exception group.
    """
    # Each run has addresses of its own, so that runs may follow at once.
    address = f"127.{240 + os.getpid() % 14}.{next(NUMBERS) % 250}.1"
    config = settings.Settings(
        host=settings.HostSection(name=HOST, failure_domain=DOMAIN),
        listen=settings.ListenSection(
            callers=f"{address}:7000", peers=f"{address}:7001", admin=f"{address}:7002"
        ),
        platform=settings.PlatformSection.model_validate(
            {"url": "http://127.0.0.1:9", "timeout_s": 0.2}
        ),
        peers=settings.PeersSection(secret=SECRET),
        tls=tls_files,
    )
    process = balancer.Balancer(config)
    for version, (name, value) in enumerate(configuration().items(), start=1):
        apply(process, name, version, value)
    write_view(process, 1, with_peer)
    beside = peer_address(address)
    async with (
        await anyio.create_udp_socket(local_host="127.0.0.1") as caller,
        await anyio.create_udp_socket(local_host=beside, local_port=7001) as peer,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(process.run)
        await wait_for_port((address, 7002))
        try:
            yield Solo(process, process.codec, caller, peer)
        finally:
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await process.caller_socket.aclose()
                await process.peer_socket.aclose()


async def wait_for_port(address: tuple[str, int]) -> None:
    """Wait until a TCP port takes connections.

    Raises
    ------
    TimeoutError
        If it does not within `START_LIMIT_S`.
    """
    with anyio.fail_after(START_LIMIT_S):
        while True:
            try:
                async with await anyio.connect_tcp(*address):
                    return
            except OSError:
                await anyio.sleep(0.02)
