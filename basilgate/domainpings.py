"""Pings between failure domains: who is reachable, and which load others have."""

import collections.abc
import random
import typing

import anyio

from basilgate import (
    clock,
    configsync,
    controlmessages,
    flowopening,
    loadsharing,
    membership,
    reasons,
    replica,
    settings,
    storedobjects,
)
from peerproto import ttypes

PING_INTERVAL_S = 1.0
# The lifetime of a datagram in the fabric, and twice the bound of clock skew.
PING_LIFETIME_S = membership.DATAGRAM_LIFETIME_S + 2 * membership.CLOCK_SKEW_S
REACHABLE_FOR_S = 3.0

Send = collections.abc.Callable[
    [bytes, tuple[str, int]], collections.abc.Awaitable[None]
]


class DomainPings:
    """Pings one random member of each other domain, and answers theirs.

    Parameters
    ----------
    members : membership.Membership
        The own domain.
    store : replica.Replica
        Views of the other domains.
    sync : configsync.ConfigSync
        Compares versions of the configuration.
    codec : controlmessages.Codec
        Seals and opens messages.
    opener : flowopening.FlowOpener
        Knows the configuration in force and the candidates for flows.
    send : callable
        Sends a datagram to another balancer.
    rng : random.Random
        Picks members.
    """

    def __init__(
        self,
        members: membership.Membership,
        store: replica.Replica,
        sync: configsync.ConfigSync,
        codec: controlmessages.Codec,
        opener: flowopening.FlowOpener,
        send: Send,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.store = store
        self.sync = sync
        self.codec = codec
        self.opener = opener
        self.send = send
        self.rng = rng
        self.domain_loads = loadsharing.DomainLoads()
        # Monotonic time until which each other domain counts as reachable.
        self.reachable_until: dict[str, float] = {}

    def is_reachable(self, domain: str) -> bool:
        """Tell whether a failure domain has answered lately."""
        if domain == self.members.domain:
            return True
        return self.reachable_until.get(domain, 0.0) > anyio.current_time()

    async def run(self) -> None:
        """Ping until the process stops."""
        while True:
            for name, view in self.store.under(storedobjects.VIEW_PREFIX).items():
                if name == self.members.view_name or not isinstance(
                    view, storedobjects.View
                ):
                    continue
                if view.members:
                    member = self.rng.choice(view.members)
                    address = settings.split_address(member.peers)
                    services = self.domain_loads.asked(
                        list(self.opener.config.services)
                    )
                    datagram = self.encode_ping(address, services, reply_wanted=True)
                    await self.send(datagram, address)
            await anyio.sleep(PING_INTERVAL_S)

    def encode_ping(
        self,
        address: tuple[str, int],
        services: collections.abc.Iterable[int],
        reply_wanted: bool,
    ) -> bytes:
        """Return a ping to another failure domain with the loads of services.

        The reply to a ping has the loads of the services that the ping names.
        """
        message = ttypes.DomainPing(
            self.members.me.host,
            self.members.domain,
            self.members.me.incarnation,
            self.store.revision,
            self.store.digest,
            reply_wanted,
            self.domain_loads.report(services, self.opener.candidates),
            sent_ms=clock.unix_ms(),
        )
        context = controlmessages.context_of(address)
        return self.codec.encode("domain_ping", message, context)

    async def on_ping(
        self, message: typing.Any, address: tuple[str, int]
    ) -> reasons.Reason:
        """Note that another domain is reachable, and answer."""
        if abs(clock.unix_s() - message.sent_ms / 1000) > PING_LIFETIME_S:
            return reasons.Reason.STALE
        now = anyio.current_time()
        self.reachable_until[message.domain] = now + REACHABLE_FOR_S
        self.domain_loads.update(message.domain, message.loads or [])
        self.sync.on_peer_digest(
            address, message.config_revision, message.config_digest
        )
        if message.reply_wanted:
            requested = [load.target for load in message.loads or []]
            limited = requested[: loadsharing.SERVICES_PER_PING]
            await self.send(
                self.encode_ping(address, limited, reply_wanted=False), address
            )
        return reasons.Reason.NONE
