"""Watches the platform's store: a listing and then long polls for each kind."""

import random
import time

from basilgate import (
    clock,
    counters,
    documentcache,
    documentmerge,
    eventlog,
    fleetmodel,
    fleetview,
)
from basilgate.relay import relayclient
from platformedge import documents, store

WATCH_DURATION_S = 20.0  # Two thirds of the longest wait that the store allows.
WATCH_RESPONSE_LIMIT_S = 2.0  # Time that a slow store may take beyond the wait.
# The watches of one kind are short: until its response is due, a store that is silent
# for this host looks like one without changes. Together with the limit of a check, half
# of the 3 s limit for applying a change is left to get the change from a peer.
PRIMARY_WATCH_DURATION_S = 0.7
# Time after an answer on the configuration for which a host says that it watches
# the store: until the next answer is due, and while a slow store takes its time. A host
# that was suspended, or gets no answers, may lack changes from then on.
READING_DURATION_S = PRIMARY_WATCH_DURATION_S + 0.6
# Time for which the store may be ahead of a kind that its watch says nothing about.
PROGRESS_LIMIT_S = 1.0
# A check is a watch that returns almost at once and only shows missed changes. A store
# that does not answer it within the limit counts as silent for this host; half of the
# 3 s limit for applying a change remains to get the change from a peer.
CHECK_DURATION_S = 0.05
CHECK_RESPONSE_LIMIT_S = 1.0
LISTING_TIMEOUT_S = 2.0  # Ten times the 0.2 s of a store 50 times slower than usual.
RETRY_DELAY_S = 0.1  # About ten round trips; doubled for each consecutive failure.
MAX_RETRY_DELAY_S = 0.8  # Allows a second attempt within the 3 s limit of a change.

# After its first listing a host waits this long for an upstream before it watches the
# store itself: a few report intervals of 0.15 s, and a connection.
UPSTREAM_WAIT_S = 0.6
# Delay after a change, so that changes in a burst are fetched together. It counts
# against the 3 s limit for applying a change.
BATCH_DELAY_S = 0.5
RELAY_CHECK_INTERVAL_S = 0.1  # Delay until the end of a relay connection is noticed.
# The hosts of a failure domain call the store in the order of their start, a step
# apart. If the store serves the first, that host becomes the upstream and the others
# make no calls. After the last step 2 s of the 3 s limit of a change remain.
RANK_DELAY_STEP_S = 0.25
MAX_DELAYED_RANKS = 4


class KindWatcher:
    """Updates the document cache with the store's changes of one kind of object.

    It lists the kind once and then watches it, but makes no calls while an upstream
    relays the changes. `run` needs a thread of its own; `check_now` may be called from
    any thread.

    Parameters
    ----------
    kind : str
        Kind of object to watch, as the store names it.
    connection : store.Connection
        Connection for this watcher's calls; not shared, since each watch blocks it.
    cache : documentcache.DocumentCache
        Receives the documents and supplies the revision to watch from.
    relay_client : relayclient.RelayClient
        Connection to the upstream, used instead of the store while it is fresh.
    log : eventlog.EventLog
        Receives lost and regained access to the store, and unreadable documents.
    counts : counters.Counters
        Counts store calls and unreadable documents.
    primary : KindWatcher, optional
        Watcher that alone retries while calls to the store fail; None for the primary.
    """

    def __init__(
        self,
        kind: str,
        connection: store.Connection,
        cache: documentcache.DocumentCache,
        relay_client: relayclient.RelayClient,
        log: eventlog.EventLog,
        counts: counters.Counters,
        primary: "KindWatcher | None" = None,
    ) -> None:
        self.kind = kind
        self.connection = connection
        self.cache = cache
        self.relay_client = relay_client
        self.log = log
        self.counts = counts
        self.primary = primary
        self.failures = 0  # Consecutive failed calls.
        # Whether the store no longer keeps the changes after the cached revision, so
        # that the kind has to be listed again.
        self.history_gone = False
        # Whether the next watch is to be a short check, and whether the call in
        # progress was aborted for it, which is then no failure.
        self.check_pending = False
        self.call_aborted = False
        # Whether an upstream relays the kind, so that no calls are made.
        self.relay_is_fresh = False
        # Whether the store has answered a watch of the kind since it was last relayed.
        self.watching = False
        # Steady time of which the store's last answer speaks, 0 without one.
        self.answered_at = 0.0
        # Steady time until which that answer shows that the store is watched.
        self.reading_until = 0.0
        # A position of the store that the kind has not reached, and the steady time
        # from which the store is checked if it still has not.
        self.awaited = documentcache.UNLISTED
        self.awaited_until = 0.0
        # Time, in seconds of the steady clock, before which no call is made, and
        # whether the hosts that have run longer go first then.
        self.next_call_at = 0.0
        self.yields = False
        # The other watchers of the process; they check the store when this one finds
        # that it has come back from a copy.
        self.siblings: list[KindWatcher] = []

    @property
    def watches_store(self) -> bool:
        """Whether this kind is watched at the store itself, and was answered lately.

        False while the cache has the kind from before the store's return. Only the
        primary watcher is answered often enough to tell by the time.
        """
        is_answered = self.primary is not None or clock.steady_s() < self.reading_until
        return (
            self.watching
            and is_answered
            and not self.failures
            and not self.relay_is_fresh
            and self.is_current
        )

    @property
    def listed(self) -> bool:
        """Whether a listing of the kind, or a relayed one, is in the cache."""
        return self.cache.position(self.kind) > documentcache.UNLISTED

    @property
    def is_current(self) -> bool:
        """Whether the cache has the kind from the latest known era of the store."""
        return self.cache.position(self.kind).era >= self.cache.era

    def run(self) -> None:
        """Watch the kind until the process ends; makes no calls while it is relayed."""
        while True:
            relay_is_fresh = self.listed and self.relay_client.is_fresh()
            if self.relay_is_fresh and not relay_is_fresh:
                self.yield_after(0.0)
            self.relay_is_fresh = relay_is_fresh
            self.watching = self.watching and not relay_is_fresh
            primary_fails = self.primary is not None and self.primary.failures > 0
            if relay_is_fresh or primary_fails or not self.may_call():
                time.sleep(RELAY_CHECK_INTERVAL_S)
            else:
                self.yields = False
                self.poll_once()

    def yield_after(self, delay_s: float) -> None:
        """Let the hosts that have run longer call first, after a delay in seconds."""
        self.next_call_at = clock.steady_s() + delay_s
        self.yields = True

    def may_call(self) -> bool:
        """Return whether it is this host's turn to call the store.

        The rank is looked up each time: a host that has just started comes to know
        within a second which others have run longer.
        """
        delay_s = self.rank_delay_s() if self.yields else 0.0
        return clock.steady_s() >= self.next_call_at + delay_s

    def rank_delay_s(self) -> float:
        """Return the delay, in seconds, that lets longer-running hosts call first."""
        return RANK_DELAY_STEP_S * min(self.relay_client.rank(), MAX_DELAYED_RANKS)

    def check_now(self) -> None:
        """Abort a watch in progress and check the store for missed changes at once."""
        self.check_pending = self.call_aborted = True
        self.next_call_at = 0.0
        self.yields = False
        self.connection.abort()

    def poll_once(self) -> None:
        """List or watch the kind once and apply the result; sleep after a failure."""
        position = self.cache.position(self.kind)
        was_listed = self.listed
        complete = not was_listed or self.history_gone or not self.is_current
        started_at, duration_s = clock.steady_s(), 0.0
        if complete:
            # The first listing of targets may be stale: a watch from its revision, or
            # the upstream, supplies later changes, and nothing runs at a target that
            # has left, since each datagram names its target. What operators have
            # withdrawn must not come back with a restart. After HISTORY_GONE the
            # changes since a stale revision may be lost.
            allow_stale = not was_listed and self.kind == documents.TARGETS_KIND
            result = store.list_kind(
                self.connection,
                self.kind,
                LISTING_TIMEOUT_S,
                allow_stale,
                self.cache.era,
            )
        else:
            duration_s, response_limit_s = self.watch_times()
            result = store.watch_kind(
                self.connection, self.kind, position, duration_s, response_limit_s
            )
            self.watching = self.watching or not isinstance(result, store.Failure)
        outcome = result.value if isinstance(result, store.Failure) else "ok"
        self.counts.add("store_calls_total", kind=self.kind, outcome=outcome)
        self.note_era()
        if isinstance(result, store.Failure):
            if self.call_aborted and result is store.Failure.BROKEN:
                self.call_aborted = False
                return
            self.handle_failure(result)
            return
        # An answer may be read long after it came, if the process was suspended.
        self.answered_at = min(clock.steady_s(), started_at + duration_s)
        self.reading_until = self.answered_at + READING_DURATION_S
        self.end_failures()
        self.apply_listing(result, position, complete)
        if not was_listed:
            self.yield_after(UPSTREAM_WAIT_S)
        elif result.documents and not complete:
            self.next_call_at = clock.steady_s() + BATCH_DELAY_S

    def end_failures(self) -> None:
        """Record that the store has answered, and let the others check it if it failed.

        Their connections may have failed with this one's, and their watches would not
        show it for the rest of `WATCH_DURATION_S`.
        """
        self.check_pending = self.call_aborted = self.history_gone = False
        if self.failures:
            self.log.write("store_regained", kind=self.kind, failures=self.failures)
            if self.primary is None:
                for watcher in self.siblings:
                    watcher.check_now()
        self.failures = 0

    def apply_listing(
        self, listing: store.Listing, previous: fleetmodel.Position, complete: bool
    ) -> None:
        """Apply what the store has answered to the cache, and log it.

        `previous` is the position of the kind before, `complete` whether the listing
        has all documents.
        """
        for problem in listing.unreadable:
            self.counts.add("unreadable_documents_total", kind=self.kind)
            self.log.write("document_unreadable", kind=self.kind, problem=problem)
        applied = self.cache.update(self.kind, listing, complete)
        if self.primary is None:
            for watcher in self.siblings:
                watcher.note_progress(listing.position)
        if complete:
            described = self.cache.describe_listing(self.kind, listing, previous)
            self.log.write("kind_listed", **described, applied=applied)
        elif listing.documents and self.kind in documentmerge.OPERATOR_KINDS:
            self.log.write(
                "change_received",
                kind=self.kind,
                revision=listing.position,
                source="store",
            )

    def watch_times(self) -> tuple[float, float]:
        """Return how long the next watch waits and how much longer it may take, in s.

        After a failure the watchers of the other kinds wait until the primary's call
        succeeds, so it must not wait for a change. Nor must the first watch, since this
        host becomes an upstream once the store has answered, nor one that tells whether
        it still is. The watch after a change is short, since the delay that batches
        changes is part of the time until an answer is due.
        """
        now = clock.steady_s()
        is_check = self.check_pending or self.failures > 0 or not self.watching
        if self.primary is not None and not is_check:
            return WATCH_DURATION_S, WATCH_RESPONSE_LIMIT_S
        if is_check or now >= self.reading_until:
            return CHECK_DURATION_S, CHECK_RESPONSE_LIMIT_S
        left_s = self.answered_at + PRIMARY_WATCH_DURATION_S - now
        return max(CHECK_DURATION_S, left_s), CHECK_RESPONSE_LIMIT_S

    def note_progress(self, position: fleetmodel.Position) -> None:
        """Check the store if it has been ahead of this kind for some time.

        Its revision counts the changes of all kinds. If one of them has come with no
        kind, it may be of this kind, and the answer with it may be lost.
        """
        if not self.watches_store:
            return
        now = clock.steady_s()
        if self.cache.position(self.kind) >= self.awaited:
            if self.cache.lacks_change(self.kind, position):
                self.awaited = position
                self.awaited_until = now + PROGRESS_LIMIT_S
        elif now >= self.awaited_until:
            self.awaited_until = now + PROGRESS_LIMIT_S
            if self.cache.lacks_change(self.kind, self.awaited):
                self.check_now()

    def note_era(self) -> None:
        """Record a new era of the store, and let the other watchers check the store.

        Their watches may be open since before the store's return and would then wait
        for revisions that have another meaning by now.
        """
        previous = self.cache.era
        if not self.cache.raise_era(self.connection.era):
            return
        self.log.write(
            "store_era_changed",
            kind=self.kind,
            era=self.cache.era,
            previous=previous,
            revision=self.cache.position(self.kind),
        )
        if previous:
            for watcher in self.siblings:
                watcher.check_now()

    def handle_failure(self, failure: store.Failure) -> None:
        """Record a failed call and sleep for a random delay that spreads the hosts.

        `Failure.HISTORY_GONE` and `Failure.ERA_CHANGED` only cause a new listing,
        without delay.
        """
        if failure in (store.Failure.HISTORY_GONE, store.Failure.ERA_CHANGED):
            if failure is store.Failure.HISTORY_GONE:
                self.log.write("history_gone", kind=self.kind)
            self.history_gone = True
            return
        self.failures += 1
        self.check_pending = self.call_aborted = False
        if self.failures == 1:
            self.log.write(
                "store_lost",
                kind=self.kind,
                reason=failure.value,
                revision=self.cache.position(self.kind),
            )
        max_delay_s = min(
            MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(self.failures, 10)
        )
        time.sleep(max_delay_s * random.uniform(0.5, 1.0) + self.rank_delay_s())


class ViewUpdater:
    """Decodes documents of the store and applies them to the view.

    Documents that cannot be decoded are logged and counted. The caller holds the lock
    that guards the view.

    Parameters
    ----------
    view : fleetview.FleetView
        Receives configuration, targets, overrides, and evacuations.
    log : eventlog.EventLog
        Receives unreadable documents.
    counts : counters.Counters
        Counts unreadable documents.
    """

    def __init__(
        self,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        counts: counters.Counters,
    ) -> None:
        self.view = view
        self.log = log
        self.counts = counts

    def record_unreadable(self, kind: str, error: documents.DocumentError) -> None:
        """Log and count a document that cannot be decoded."""
        self.counts.add("unreadable_documents_total", kind=kind)
        self.log.write("document_unreadable", kind=kind, problem=str(error))

    def apply_configuration(
        self, changed: list[documents.StoredDocument], complete: bool
    ) -> None:
        """Apply the operator's configuration; an unreadable one changes nothing."""
        del complete
        for document in changed:
            if document.name != documents.CONFIG_NAME or document.removed:
                continue
            try:
                configuration = documents.decode_configuration(document.content)
            except documents.DocumentError as error:
                self.record_unreadable(documents.CONFIG_KIND, error)
                continue
            self.view.apply_configuration(configuration)

    def apply_targets(
        self, changed: list[documents.StoredDocument], complete: bool
    ) -> None:
        """Apply changed documents of targets; an unreadable one counts as removed.

        With `complete`, all targets are known from now on.
        """
        for document in changed:
            target = None
            if not document.removed:
                try:
                    target = documents.decode_target(document.name, document.content)
                except documents.DocumentError as error:
                    self.record_unreadable(documents.TARGETS_KIND, error)
            if target is not None:
                self.view.apply_target(target, document.position)
            else:
                self.view.remove_target(document.name, document.position)
        self.view.targets_listed = self.view.targets_listed or complete

    def apply_overrides(
        self, changed: list[documents.StoredDocument], complete: bool
    ) -> None:
        """Apply changed overrides in the order in which the store accepted them.

        An unreadable one changes nothing. With `complete`, all overrides are known from
        now on.
        """
        self.view.overrides_listed = self.view.overrides_listed or complete
        for document in sorted(changed, key=lambda document: document.position):
            if document.removed:
                self.view.remove_override(document.name)
                continue
            try:
                override = documents.decode_override(document.name, document.content)
            except documents.DocumentError as error:
                self.record_unreadable(documents.OVERRIDES_KIND, error)
                continue
            if override.released:
                self.view.remove_override(document.name)
            else:
                self.view.apply_override(override)

    def apply_evacuations(
        self, changed: list[documents.StoredDocument], complete: bool
    ) -> None:
        """Apply changed evacuations; their content has no meaning and is not read.

        With `complete`, all evacuations are known from now on.
        """
        now = clock.steady_s()
        for document in changed:
            if document.removed:
                self.view.evacuations.end(document.name, now, document.position)
            else:
                self.view.evacuations.begin(document.name, now, document.position)
        if complete:
            self.view.evacuations.finish_listing()
