"""Keeps the replica up to date: platform watch, and repair between peers."""

import collections.abc
import random

import anyio
import logbook
from returns import result

from basilgate import logs, membership, peering, platformapi, replica, settings
from peerproto import ttypes

LOGGER = logbook.Logger("configsync")

BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 10.0
REPAIR_INTERVAL_S = 1.0
SEED_INTERVAL_S = 1.0


class ConfigSync:
    """Source of configuration for one host.

    Parameters
    ----------
    store : replica.Replica
        Replica to keep up to date.
    platform : platformapi.PlatformClient
        The platform.
    members : membership.Membership
        Peers of the own domain, from which missed objects are taken.
    codec : peering.Codec
        Encoding of control messages.
    seeds : sequence of (str, int)
        Peer addresses to ask while nothing is known.
    wait_s : float
        Waiting time of one watch in seconds.
    """

    def __init__(
        self,
        store: replica.Replica,
        platform: platformapi.PlatformClient,
        members: membership.Membership,
        codec: peering.Codec,
        seeds: collections.abc.Sequence[tuple[str, int]],
        wait_s: float,
    ) -> None:
        self.store = store
        self.platform = platform
        self.members = members
        self.codec = codec
        self.seeds = seeds
        self.wait_s = wait_s
        self.rng = random.Random(members.me.incarnation)
        # Revision up to which the platform's changes have been seen.
        self.watched_revision = 0
        # Addresses of peers seen with another digest, to sync from.
        self.behind: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Follow the platform and repair from peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follow_platform)
            tasks.start_soon(self.repair)

    async def follow_platform(self) -> None:
        """List once, then watch; start over when the platform says so."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            if self.watched_revision:
                answer = await self.platform.watch(self.watched_revision, self.wait_s)
            else:
                answer = await self.platform.list()
            if isinstance(answer, result.Success):
                found = answer.unwrap()
                for stored in found.objects:
                    self.store.apply(stored)
                self.watched_revision = max(self.watched_revision, found.revision)
                backoff_s = BACKOFF_FIRST_S
                continue
            problem = answer.failure()
            if problem.kind is platformapi.ProblemKind.TOO_OLD:
                self.watched_revision = 0
            logs.event(LOGGER.info, "platform_unread", problem=problem.kind.value)
            # Full jitter keeps hosts from returning all at once after an outage.
            await anyio.sleep(self.rng.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, BACKOFF_LIMIT_S)

    async def repair(self) -> None:
        """Take missed objects from peers whose digest differs."""
        while True:
            await anyio.sleep(REPAIR_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            sources = [
                peer.address
                for peer in self.members.peers.values()
                if peer.config_digest not in (0, self.store.digest)
                and self.members.is_alive(peer.member.host)
            ]
            sources += sorted(self.behind)
            self.behind.clear()
            if not self.store.stored:
                sources += self.seeds
            if sources:
                await self.sync_from(self.rng.choice(sources))

    def note_behind(self, address: tuple[str, int]) -> None:
        """Note a host that has something newer."""
        self.behind.add(address)

    async def sync_from(self, address: tuple[str, int]) -> bool:
        """Take newer objects from one peer; False if it did not answer."""
        versions = [
            ttypes.ObjectVersion(name, version)
            for name, version in self.store.versions().items()
        ]
        request = ttypes.SyncRequest(self.members.me.host, versions)
        answer = await peering.call(self.codec, address, "sync_request", request)
        if isinstance(answer, result.Failure):
            return False
        field, reply = answer.unwrap()
        if field != "sync_reply":
            return False
        taken = 0
        for part in reply.objects:
            stored = peering.from_thrift(part)
            if stored is not None:
                taken += self.store.apply(stored)
        if taken:
            logs.event(
                LOGGER.info,
                "synced_from_peer",
                peer=f"{address[0]}:{address[1]}",
                objects=taken,
            )
        return True


def sync_reply(store: replica.Replica, request: object) -> object:
    """Return the objects that a peer does not have."""
    held = {part.name: part.version for part in getattr(request, "versions", [])}
    newer = [peering.to_thrift(stored) for stored in store.newer_than(held)]
    return ttypes.SyncReply(newer, store.revision)


def addresses(seeds: collections.abc.Iterable[str]) -> list[tuple[str, int]]:
    """Return the addresses of the seeds in the settings."""
    return [settings.split_address(seed) for seed in seeds]
