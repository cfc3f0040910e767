"""Pings between failure domains, which show that a domain is reachable.

Pings also carry the loads of services and the configuration revision of the sender.
"""

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
# An older ping is stale: it takes at most the lifetime of a datagram, and the clocks
# of both hosts may be wrong by the tolerated skew.
PING_LIFETIME_S = membership.DATAGRAM_LIFETIME_S + 2 * membership.CLOCK_SKEW_S
# Time after a ping for which its sender's domain counts as reachable.
REACHABLE_FOR_S = 3.0

Send = collections.abc.Callable[
    [bytes, tuple[str, int]], collections.abc.Awaitable[None]
]


class DomainPings:
    """Pings a random member of each other domain every second, and answers pings.

    Used on the event loop's thread only.

    Parameters
    ----------
    members : membership.Membership
        This host and the name of its domain.
    store : replica.Replica
        Replica with the views of the other domains and the configuration revision.
    sync : configsync.ConfigSync
        Is given the configuration revision and digest in each ping.
    codec : controlmessages.Codec
        Encodes and authenticates control messages.
    opener : flowopening.FlowOpener
        Has the configuration in force and the load of this domain's targets.
    send : callable
        Sends a datagram to the peer address of another balancer.
    rng : random.Random
        Source of the random choice of members.
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
        """Return whether a domain is this one or has sent a ping lately.

        A ping counts for `REACHABLE_FOR_S`.
        """
        if domain == self.members.domain:
            return True
        return self.reachable_until.get(domain, 0.0) > anyio.current_time()

    async def run(self) -> None:
        """Ping the other domains until cancelled."""
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
        """Return the datagram of a ping with this domain's loads of some services.

        Parameters
        ----------
        address : (str, int)
            Address that the ping is sent to.
        services : iterable of int
            Services whose loads it carries. The reply has the loads of the same
            services in the other domain.
        reply_wanted : bool
            Whether the receiver is to reply; False in a reply.
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
        """Record that another domain is reachable and its loads; reply if wanted.

        Returns `Reason.NONE`, or `Reason.STALE` for a ping that is ignored.
        """
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
