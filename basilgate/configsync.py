"""Keeps the replica up to date: platform watch, and repair between peers."""

import collections.abc
import random
import time

import anyio
import logbook
from returns import result

from basilgate import (
    controlmessages,
    logs,
    membership,
    metrics,
    platformapi,
    replica,
    settings,
    storedobjects,
)
from peerproto import ttypes

LOGGER = logbook.Logger("configsync")

BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 10.0
# Digests are compared at this interval. A difference that the watch is about to
# settle is left alone for one interval while the platform answers.
# A view that a watch or a peer's push brings arrives within this time anyway.
NEWER_VIEW_PAUSE_S = 0.2
REPAIR_INTERVAL_S = 0.4
# More missing parts than this are read by one listing instead of one by one.
MAX_PARTS_READ_SINGLY = 4

# What a host lists when it starts; sheet parts are read by name.
LISTED_PREFIXES = (
    storedobjects.OVERRIDE_PREFIX,
    storedobjects.VIEW_PREFIX,
    storedobjects.KEY_PREFIX,
)

# Problems that the platform itself reports.
ANSWERED_KINDS = (platformapi.ProblemKind.TOO_OLD, platformapi.ProblemKind.NOT_FOUND)

# Address and digest of a peer.
PeerDigest = tuple[tuple[str, int], int]
ReadResult = result.Result[None, platformapi.Problem]


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
    codec : controlmessages.Codec
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
        codec: controlmessages.Codec,
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
        # Whether everything has to be listed before the next watch.
        self.needs_listing = True
        # Unix time since which the platform has not answered, None if it does.
        self.platform_lost_at: float | None = None
        # Monotonic time from which parts that could not be read are read again.
        self.parts_retry_at = 0.0
        self.last_compared_digest = 0
        # Peers of other domains seen with another digest, to sync from.
        self.differing_remote_peers: set[PeerDigest] = set()
        # Host that has a newer view of the domain, and whether one was seen.
        self.newer_view_address = ("", 0)
        self.newer_view_reported = anyio.Event()
        # Peers that had nothing new for the digest that this host has.
        self.peers_without_news: set[PeerDigest] = set()

    async def run(self) -> None:
        """Follow the platform and repair from peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_platform)
            tasks.start_soon(self.repair)
            tasks.start_soon(self.sync_newer_views)

    async def watch_platform(self) -> None:
        """List once, then watch; start over when the platform says so."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            reading = await self.read_next()
            if isinstance(reading, result.Success):
                self.record_platform_result(answers=True)
                backoff_s = BACKOFF_FIRST_S
                continue
            problem = reading.failure()
            if problem.kind is not platformapi.ProblemKind.OVER_BUDGET:
                self.record_platform_result(problem.kind in ANSWERED_KINDS)
            logs.event(
                LOGGER.info,
                "platform_unread",
                problem=problem.kind.value,
                detail=problem.detail,
            )
            # Full jitter keeps hosts from returning all at once after an outage.
            await anyio.sleep(self.rng.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, BACKOFF_LIMIT_S)

    def record_platform_result(self, answers: bool) -> None:
        """Note whether the platform answers, and log a change."""
        if answers != (self.platform_lost_at is None):
            name = "platform_back" if answers else "platform_lost"
            logs.event(LOGGER.warning, name, complete=self.store.complete_revision)
            self.platform_lost_at = None if answers else time.time()

    async def read_next(self) -> ReadResult:
        """Take the next step of following the platform."""
        if self.needs_listing:
            return await self.read_all()
        due = anyio.current_time() >= self.parts_retry_at
        if due and self.store.missing_parts():
            return await self.read_parts()
        return await self.read_changes()

    async def read_all(self) -> ReadResult:
        """List everything except sheet parts, and read the parts that lack.

        The listings are made one after the other. The replica is complete up to
        the oldest of their revisions; the watch starts there.
        """
        revisions = []
        for prefix in LISTED_PREFIXES:
            answer = await self.platform.list(prefix)
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            listing = answer.unwrap()
            if listing.revision < self.store.complete_revision:
                return stale_store_failure(
                    listing.revision, self.store.complete_revision
                )
            self.store.apply_listing(prefix, listing.revision, listing.objects)
            revisions.append(listing.revision)
        sheet = await self.platform.get(storedobjects.SHEET)
        if isinstance(sheet, result.Success):
            self.store.apply(sheet.unwrap())
        elif sheet.failure().kind is not platformapi.ProblemKind.NOT_FOUND:
            return result.Failure(sheet.failure())
        self.store.mark_complete(min(revisions))
        self.needs_listing = False
        return result.Success(None)

    async def read_parts(self) -> ReadResult:
        """Read the parts of the newest manifest that are not held."""
        missing = self.store.missing_parts()
        if len(missing) > MAX_PARTS_READ_SINGLY:
            answer = await self.platform.list(storedobjects.SHEET_PART_PREFIX)
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            self.store.apply_all(answer.unwrap().objects)
        else:
            for name in missing:
                part = await self.platform.get(name)
                if isinstance(part, result.Success):
                    self.store.apply(part.unwrap())
                elif part.failure().kind is not platformapi.ProblemKind.NOT_FOUND:
                    return result.Failure(part.failure())
        if self.store.missing_parts():
            # The manifest was replaced meanwhile, or a part is malformed. The watch
            # goes on, since it brings the next manifest.
            self.parts_retry_at = anyio.current_time() + BACKOFF_LIMIT_S
            missing_now = ",".join(self.store.missing_parts()[:3])
            kind = platformapi.ProblemKind.NOT_FOUND
            return result.Failure(platformapi.Problem(kind, missing_now))
        return result.Success(None)

    async def read_changes(self) -> ReadResult:
        """Wait for changes and apply them."""
        since = self.store.complete_revision
        answer = await self.platform.watch(since, self.wait_s)
        if isinstance(answer, result.Failure):
            # After a stalled watch a listing shows what it did not report.
            self.needs_listing = answer.failure().kind in (
                platformapi.ProblemKind.TOO_OLD,
                platformapi.ProblemKind.OUTCOME_UNKNOWN,
                platformapi.ProblemKind.INVALID,
            )
            return result.Failure(answer.failure())
        listing = answer.unwrap()
        if listing.revision < since:
            self.needs_listing = True
            return stale_store_failure(listing.revision, since)
        self.store.apply_all(listing.objects)
        self.store.mark_complete(listing.revision)
        return result.Success(None)

    async def repair(self) -> None:
        """Take missed objects from peers whose digest differs."""
        while True:
            await anyio.sleep(REPAIR_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            sources = self.sync_candidates()
            if sources:
                address, digest = self.rng.choice(sources)
                if await self.sync_from(address) == 0:
                    self.peers_without_news.add((address, digest))

    def sync_candidates(self) -> list[PeerDigest]:
        """Return the peers that may have newer objects, with their digests."""
        if not self.store.complete_revision and self.platform_lost_at is not None:
            known = [peer.address for peer in self.members.peers.values()]
            return [(address, 0) for address in [*known, *self.seeds]]
        settled = self.store.digest == self.last_compared_digest
        self.last_compared_digest = self.store.digest
        if not settled:
            self.peers_without_news.clear()
        if not settled and self.platform_lost_at is None:
            return []
        # A peer with a lower revision is the one that has to ask.
        found = {
            (peer.address, peer.config_digest)
            for peer in self.members.peers.values()
            if peer.config_digest not in (0, self.store.digest)
            and peer.config_revision >= self.store.revision
            and self.members.is_alive(peer.member.host)
        }
        found |= self.differing_remote_peers
        self.differing_remote_peers.clear()
        return sorted(found - self.peers_without_news)

    def record_stale_peer(self, address: tuple[str, int]) -> None:
        """Sync at once from a host that has a newer view of the domain."""
        self.newer_view_address = address
        self.newer_view_reported.set()

    async def sync_newer_views(self) -> None:
        """Sync from hosts that have a newer view, one at a time."""
        while True:
            await self.newer_view_reported.wait()
            self.newer_view_reported = anyio.Event()
            await self.sync_from(self.newer_view_address)
            await anyio.sleep(NEWER_VIEW_PAUSE_S)

    def on_peer_digest(
        self, address: tuple[str, int], revision: int, digest: int
    ) -> None:
        """Note the configuration of a peer in another failure domain."""
        if digest != self.store.digest and revision >= self.store.revision:
            self.differing_remote_peers.add((address, digest))

    async def sync_from(self, address: tuple[str, int]) -> int | None:
        """Take newer objects from one peer.

        Returns
        -------
        int or None
            Number of objects that were newer, None if the peer did not answer.
        """
        held = [
            ttypes.ObjectVersion(name, revision)
            for name, revision in self.store.revisions().items()
        ]
        request = ttypes.SyncRequest(self.members.me.host, held)
        answer = await controlmessages.call(
            self.codec, address, "sync_request", request
        )
        if isinstance(answer, result.Failure) or answer.unwrap()[0] != "sync_reply":
            metrics.SYNCS.inc({"outcome": "no_reply"})
            return None
        _, reply = answer.unwrap()
        received = [controlmessages.from_thrift(part) for part in reply.objects]
        valid = [stored for stored in received if stored is not None]
        taken = self.store.apply_all(valid)
        if len(valid) == len(received):
            self.store.mark_complete(reply.revision)
        metrics.SYNCS.inc({"outcome": "taken" if taken else "nothing_new"})
        if taken:
            logs.event(
                LOGGER.info,
                "synced_from_peer",
                peer=f"{address[0]}:{address[1]}",
                objects=taken,
            )
        return taken


def stale_store_failure(revision: int, known: int) -> ReadResult:
    """Return the problem of a store that lags behind what is known."""
    kind = platformapi.ProblemKind.TOO_OLD
    return result.Failure(
        platformapi.Problem(kind, f"revision {revision} is older than {known}")
    )


def sync_reply(store: replica.Replica, request: object) -> object:
    """Return the objects that a peer may lack, and how far they are complete."""
    held = {part.name: part.version for part in getattr(request, "versions", [])}
    newer = [controlmessages.to_thrift(stored) for stored in store.newer_than(held)]
    return ttypes.SyncReply(newer, store.complete_revision)


def addresses(seeds: collections.abc.Iterable[str]) -> list[tuple[str, int]]:
    """Return the addresses of the seeds in the settings."""
    return [settings.split_address(seed) for seed in seeds]
