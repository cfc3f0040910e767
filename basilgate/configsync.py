"""Keeps the replica up to date by watching the platform and syncing with peers."""

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

# The pause after a failed read of the platform is random. Its upper bound starts at the
# first value and doubles with each further failure, up to the second.
BACKOFF_FIRST_S = 0.2
BACKOFF_LIMIT_S = 10.0
# Pause after syncing a newer view from a peer. It limits these syncs to 5 a second,
# however many peers report one. A still newer view is not delayed: a watch, or a peer
# that pushes the view, delivers it within this time anyway.
NEWER_VIEW_PAUSE_S = 0.2
# Interval at which digests are compared with those of peers. While the platform
# answers, differences are ignored if this replica changed since the last comparison:
# by the next one, the peers' watches are likely to have delivered the same change.
REPAIR_INTERVAL_S = 0.4
# More missing sheet parts than this are read by one listing instead of one by one.
MAX_PARTS_READ_SINGLY = 4

# Prefixes that a host lists when it starts, and again when a watch may have missed
# changes. The sheet's manifest is read by name, and so are its parts unless many of
# them are missing.
LISTED_PREFIXES = (
    storedobjects.OVERRIDE_PREFIX,
    storedobjects.VIEW_PREFIX,
    storedobjects.KEY_PREFIX,
)

# Kinds of problems with which the platform shows that it answers.
ANSWERED_KINDS = (platformapi.ProblemKind.TOO_OLD, platformapi.ProblemKind.NOT_FOUND)

# Address (IP, port) of a peer and the digest of its configuration.
PeerDigest = tuple[tuple[str, int], int]
# Outcome of one step of reading the platform; the objects go into the replica.
ReadResult = result.Result[None, platformapi.Problem]


class ConfigSync:
    """Keeps the replica of one host up to date.

    Changes come from a watch on the platform. Objects that the watch missed, or that
    cannot be read while the platform is down, come from peers: a differing digest shows
    that a peer has another configuration in force.

    Parameters
    ----------
    store : replica.Replica
        Replica to keep up to date.
    platform : platformapi.PlatformClient
        Client with which the platform is read.
    members : membership.Membership
        Peers of the own failure domain, whose digests are compared.
    codec : controlmessages.Codec
        Encoding of the control messages with which peers are synced.
    seeds : sequence of (str, int)
        Addresses of peers to sync from while the platform is down and this host has
        no configuration.
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
        # Whether all objects have to be listed before the next watch.
        self.needs_listing = True
        # Unix time since which the platform has not answered, None while it answers.
        self.platform_lost_at: float | None = None
        # Monotonic time in seconds before which missing sheet parts are not read again.
        self.parts_retry_at = 0.0
        # Digest of the replica at the last comparison with peers.
        self.last_compared_digest = 0
        # Peers in other failure domains that reported a differing digest since the last
        # comparison.
        self.differing_remote_peers: set[PeerDigest] = set()
        # Address of the peer that last reported a newer view of the own failure domain,
        # and the event that wakes the task that syncs from it.
        self.newer_view_address = ("", 0)
        self.newer_view_reported = anyio.Event()
        # Peers that, at this digest, had nothing new for this host. Cleared when the
        # digest of the replica changes.
        self.peers_without_news: set[PeerDigest] = set()

    async def run(self) -> None:
        """Watch the platform and sync with peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_platform)
            tasks.start_soon(self.repair)
            tasks.start_soon(self.sync_newer_views)

    async def watch_platform(self) -> None:
        """List all objects once, then watch for changes, until cancelled.

        Each failed read is followed by a random pause, whose upper bound grows. A
        failed watch may require a new listing.
        """
        backoff_s = BACKOFF_FIRST_S
        while True:
            outcome = await self.read_next()
            if isinstance(outcome, result.Success):
                self.record_platform_result(answers=True)
                backoff_s = BACKOFF_FIRST_S
                continue
            problem = outcome.failure()
            if problem.kind is not platformapi.ProblemKind.OVER_BUDGET:
                self.record_platform_result(problem.kind in ANSWERED_KINDS)
            logs.event(
                LOGGER.info,
                "platform_unread",
                problem=problem.kind.value,
                detail=problem.detail,
            )
            # Full jitter spreads the reads of all hosts after an outage.
            await anyio.sleep(self.rng.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, BACKOFF_LIMIT_S)

    def record_platform_result(self, answers: bool) -> None:
        """Record whether the platform answers, and log a change."""
        if answers != (self.platform_lost_at is None):
            event = "platform_back" if answers else "platform_lost"
            logs.event(LOGGER.warning, event, complete=self.store.complete_revision)
            self.platform_lost_at = None if answers else time.time()

    async def read_next(self) -> ReadResult:
        """Perform the next read: a listing, missing sheet parts, or a watch."""
        if self.needs_listing:
            return await self.read_all()
        may_read_parts = anyio.current_time() >= self.parts_retry_at
        if may_read_parts and self.store.missing_parts():
            return await self.read_parts()
        return await self.read_changes()

    async def read_all(self) -> ReadResult:
        """List all objects except sheet parts, and read the sheet's manifest.

        The listings are made one after the other, so the replica is complete up to the
        lowest of their revisions. The watch starts there.
        """
        revisions = []
        for prefix in LISTED_PREFIXES:
            answer = await self.platform.list(prefix)
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            listing = answer.unwrap()
            if listing.revision < self.store.complete_revision:
                return stale_answer_failure(
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
        """Read the sheet parts that the newest manifest names and the replica lacks."""
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
            # The manifest was replaced in the meantime, or a part is malformed. The
            # watch continues, since it delivers the next manifest.
            self.parts_retry_at = anyio.current_time() + BACKOFF_LIMIT_S
            still_missing = ",".join(self.store.missing_parts()[:3])
            kind = platformapi.ProblemKind.NOT_FOUND
            return result.Failure(platformapi.Problem(kind, still_missing))
        return result.Success(None)

    async def read_changes(self) -> ReadResult:
        """Wait for changes on the platform and apply them."""
        since = self.store.complete_revision
        answer = await self.platform.watch(since, self.wait_s)
        if isinstance(answer, result.Failure):
            # A new listing contains the changes that the watch did not deliver: the
            # platform no longer has them, the watch stalled or broke, or its answer is
            # malformed.
            self.needs_listing = answer.failure().kind in (
                platformapi.ProblemKind.TOO_OLD,
                platformapi.ProblemKind.OUTCOME_UNKNOWN,
                platformapi.ProblemKind.INVALID,
            )
            return result.Failure(answer.failure())
        listing = answer.unwrap()
        if listing.revision < since:
            self.needs_listing = True
            return stale_answer_failure(listing.revision, since)
        self.store.apply_all(listing.objects)
        self.store.mark_complete(listing.revision)
        return result.Success(None)

    async def repair(self) -> None:
        """Sync regularly from one random peer among those whose digest differs.

        A peer that had nothing new is skipped until the digest of either side changes.
        """
        while True:
            await anyio.sleep(REPAIR_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            candidates = self.sync_candidates()
            if candidates:
                address, digest = self.rng.choice(candidates)
                if await self.sync_from(address) == 0:
                    self.peers_without_news.add((address, digest))

    def sync_candidates(self) -> list[PeerDigest]:
        """Return the peers that may have newer objects, with their digests.

        If the platform does not answer and this host has never had a complete
        configuration, these are all peers and seeds, with 0 for the digest.
        """
        if not self.store.complete_revision and self.platform_lost_at is not None:
            peer_addresses = [peer.address for peer in self.members.peers.values()]
            return [(address, 0) for address in [*peer_addresses, *self.seeds]]
        digest_unchanged = self.store.digest == self.last_compared_digest
        self.last_compared_digest = self.store.digest
        if not digest_unchanged:
            self.peers_without_news.clear()
        if not digest_unchanged and self.platform_lost_at is None:
            return []
        # A peer with a lower revision syncs from this host, not the other way around.
        candidates = {
            (peer.address, peer.config_digest)
            for peer in self.members.peers.values()
            if peer.config_digest not in (0, self.store.digest)
            and peer.config_revision >= self.store.revision
            and self.members.is_alive(peer.member.host)
        }
        candidates |= self.differing_remote_peers
        self.differing_remote_peers.clear()
        return sorted(candidates - self.peers_without_news)

    def record_newer_view(self, address: tuple[str, int]) -> None:
        """Start a sync from the peer at `address`, which has a newer view."""
        self.newer_view_address = address
        self.newer_view_reported.set()

    async def sync_newer_views(self) -> None:
        """Sync from peers that reported a newer view, one at a time.

        If several report one during a sync, only the last of them is used next.
        """
        while True:
            await self.newer_view_reported.wait()
            self.newer_view_reported = anyio.Event()
            await self.sync_from(self.newer_view_address)
            await anyio.sleep(NEWER_VIEW_PAUSE_S)

    def on_peer_digest(
        self, address: tuple[str, int], revision: int, digest: int
    ) -> None:
        """Record a peer in another failure domain that may have newer objects.

        Parameters
        ----------
        address : (str, int)
            Address of the peer for control messages.
        revision : int
            Highest revision among the objects that the peer has applied.
        digest : int
            Digest of the configuration that the peer has in force.
        """
        if digest != self.store.digest and revision >= self.store.revision:
            self.differing_remote_peers.add((address, digest))

    async def sync_from(self, address: tuple[str, int]) -> int | None:
        """Apply the objects of one peer that are newer than those of the replica.

        Returns
        -------
        int or None
            Number of objects applied, None if the peer did not answer.
        """
        versions = [
            ttypes.ObjectVersion(name, revision)
            for name, revision in self.store.revisions().items()
        ]
        request = ttypes.SyncRequest(self.members.me.host, versions)
        answer = await controlmessages.call(
            self.codec, address, "sync_request", request
        )
        if isinstance(answer, result.Failure) or answer.unwrap()[0] != "sync_reply":
            metrics.SYNCS.inc({"outcome": "no_reply"})
            return None
        _, reply = answer.unwrap()
        received = [controlmessages.from_thrift(item) for item in reply.objects]
        valid = [stored for stored in received if stored is not None]
        applied = self.store.apply_all(valid)
        if len(valid) == len(received):
            self.store.mark_complete(reply.revision)
        metrics.SYNCS.inc({"outcome": "taken" if applied else "nothing_new"})
        if applied:
            logs.event(
                LOGGER.info,
                "synced_from_peer",
                peer=f"{address[0]}:{address[1]}",
                objects=applied,
            )
        return applied


def stale_answer_failure(revision: int, applied_revision: int) -> ReadResult:
    """Return the failure for an answer older than the revision already applied."""
    kind = platformapi.ProblemKind.TOO_OLD
    return result.Failure(
        platformapi.Problem(
            kind, f"revision {revision} is older than {applied_revision}"
        )
    )


def sync_reply(store: replica.Replica, request: object) -> object:
    """Return the reply to a peer's sync request.

    It holds the objects that are newer than those listed in the request, and the
    revision up to which this replica is complete.
    """
    revisions = {item.name: item.version for item in getattr(request, "versions", [])}
    newer = [
        controlmessages.to_thrift(stored) for stored in store.newer_than(revisions)
    ]
    return ttypes.SyncReply(newer, store.complete_revision)


def addresses(seeds: collections.abc.Iterable[str]) -> list[tuple[str, int]]:
    """Return the seeds of the settings as pairs of IP address and port."""
    return [settings.split_address(seed) for seed in seeds]
