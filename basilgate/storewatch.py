"""Following the platform's store: one listing and one watch for each kind."""

import random
import time

from basilgate import clock, counters, documentcache, documentrelay, eventlog, fleetview
from platformedge import documents, store

WATCH_DURATION_S = 20.0  # Two thirds of the store's limit for one wait.
WATCH_RESPONSE_LIMIT_S = 2.0  # Answer time of a slow store beyond the wait.
# A watch that only asks whether something was missed. A store that does not answer it
# is silent for this host; half of the 3 s of a change remain for another source.
CHECK_DURATION_S = 0.05
CHECK_RESPONSE_LIMIT_S = 1.0
LISTING_TIMEOUT_S = 2.0  # A store that is 50 times slower than usual answers in 0.2 s.
RETRY_DELAY_S = 0.1  # Some ten round trips; doubled for each failure in a row.
MAX_RETRY_DELAY_S = 0.8  # Leaves time for a second try within the 3 s of a change.

# A host that has just listed a kind waits for a source before it watches itself.
UPSTREAM_WAIT_S = 0.6  # A few rounds of reports, and a connection.
# Changes that come in a burst are fetched together. Adds to the time of a change, of
# which the bounds allow 3 s.
BATCH_DELAY_S = 0.5
RELAY_CHECK_INTERVAL_S = 0.1  # How soon the store is asked once its relay has ended.
# Hosts of a failure domain ask the store one after the other, so that one that serves
# the first of them gets no calls of the others. Of the 3 s of a change two remain.
RANK_DELAY_STEP_S = 0.25
MAX_DELAYED_RANKS = 4


class KindWatcher:
    """Keeps the documentcache in step with one kind of object.

    Parameters
    ----------
    kind : str
        The kind.
    connection : store.Connection
        A connection that nothing else uses.
    cache : documentcache.DocumentCache
        The documents.
    relay_client : documentrelay.RelayClient
        Another source of documents, preferred while it is fresh.
    log, counts
        Log and metrics.
    primary : KindWatcher, optional
        The follower that asks alone while the store turns this host away.
    """

    def __init__(
        self,
        kind: str,
        connection: store.Connection,
        cache: documentcache.DocumentCache,
        relay_client: documentrelay.RelayClient,
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
        self.failures = 0
        self.history_gone = False
        # The next call only asks whether something was missed, and the one that
        # waits was interrupted for it.
        self.check_pending = False
        self.call_aborted = False
        self.relay_is_fresh = False
        # Time before which the store is not asked again.
        self.next_call_at = 0.0

    @property
    def watches_store(self) -> bool:
        """Whether the store answers and is followed."""
        return not self.failures and not self.relay_is_fresh and self.listed

    @property
    def listed(self) -> bool:
        """Whether the kind was listed."""
        return self.cache.revision(self.kind) > 0

    def run(self) -> None:
        """Follow the kind until the process ends."""
        while True:
            relay_is_fresh = self.listed and self.relay_client.is_fresh()
            if self.relay_is_fresh and not relay_is_fresh:
                self.next_call_at = clock.steady_s() + self.rank_delay_s()
            self.relay_is_fresh = relay_is_fresh
            primary_fails = self.primary is not None and self.primary.failures > 0
            if relay_is_fresh or primary_fails or clock.steady_s() < self.next_call_at:
                time.sleep(RELAY_CHECK_INTERVAL_S)
            else:
                self.poll_once()

    def rank_delay_s(self) -> float:
        """Return how long hosts that have run longer may take to become the source."""
        return RANK_DELAY_STEP_S * min(self.relay_client.rank(), MAX_DELAYED_RANKS)

    def check_now(self) -> None:
        """Ask the store at once instead of waiting for the watch."""
        self.check_pending = self.call_aborted = True
        self.next_call_at = 0.0
        self.connection.abort()

    def poll_once(self) -> None:
        """List or watch once, and pause after a failure."""
        revision = self.cache.revision(self.kind)
        complete = revision == 0 or self.history_gone
        if complete:
            # The first listing may be old: a watch from its revision, or the source,
            # brings what has changed since. One that replaces lost history may not.
            result = store.list_kind(
                self.connection, self.kind, LISTING_TIMEOUT_S, allow_stale=revision == 0
            )
        else:
            # After a failure the other kinds wait for this answer, so it has to come
            # without a change.
            is_check = self.check_pending or self.failures > 0
            duration_s = CHECK_DURATION_S if is_check else WATCH_DURATION_S
            response_limit_s = (
                CHECK_RESPONSE_LIMIT_S if is_check else WATCH_RESPONSE_LIMIT_S
            )
            result = store.watch_kind(
                self.connection, self.kind, revision, duration_s, response_limit_s
            )
        outcome = result.value if isinstance(result, store.Failure) else "ok"
        self.counts.add("store_calls_total", kind=self.kind, outcome=outcome)
        if isinstance(result, store.Failure):
            if self.call_aborted and result is store.Failure.BROKEN:
                self.call_aborted = False
                return
            self.handle_failure(result)
            return
        self.check_pending = self.call_aborted = False
        if self.failures:
            self.log.write("store_regained", kind=self.kind, failures=self.failures)
        self.failures = 0
        self.history_gone = False
        for problem in result.unreadable:
            self.counts.add("unreadable_documents_total", kind=self.kind)
            self.log.write("document_unreadable", kind=self.kind, problem=problem)
        self.cache.update(self.kind, result, complete)
        if not revision:
            self.next_call_at = clock.steady_s() + UPSTREAM_WAIT_S + self.rank_delay_s()
        elif result.documents:
            self.next_call_at = clock.steady_s() + BATCH_DELAY_S

    def handle_failure(self, failure: store.Failure) -> None:
        """Note a failed call and pause, so that many hosts do not return at once."""
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
                revision=self.cache.revision(self.kind),
            )
        max_delay_s = min(
            MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(self.failures, 10)
        )
        time.sleep(max_delay_s * random.uniform(0.5, 1.0) + self.rank_delay_s())


class ViewUpdater:
    """Applies documents of the store to the view.

    Parameters
    ----------
    view : fleetview.FleetView
        The view.
    log, counts
        Log and metrics.
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
        """Note a document that cannot be used."""
        self.counts.add("unreadable_documents_total", kind=kind)
        self.log.write("document_unreadable", kind=kind, problem=str(error))

    def apply_configuration(self, listing: store.Listing, complete: bool) -> None:
        """Apply the operator's configuration."""
        del complete
        for document in listing.documents:
            if document.name != documents.CONFIG_NAME or not document.content:
                continue
            try:
                configuration = documents.decode_configuration(document.content)
            except documents.DocumentError as error:
                self.record_unreadable(documents.CONFIG_KIND, error)
                continue
            self.view.apply_configuration(configuration)

    def apply_targets(self, listing: store.Listing, complete: bool) -> None:
        """Apply entries of targets; one that cannot be read names no target."""
        readable = {}
        for document in listing.documents:
            target = None
            if document.content:
                try:
                    target = documents.decode_target(document.name, document.content)
                except documents.DocumentError as error:
                    self.record_unreadable(documents.TARGETS_KIND, error)
            if target is not None:
                readable[document.name] = (target, document.revision)
                if not complete:
                    self.view.apply_target(target, document.revision)
            elif not complete:
                readable.pop(document.name, None)
                self.view.remove_target(document.name, document.revision)
        if complete:
            self.view.replace_targets(readable, listing.revision)

    def apply_overrides(self, listing: store.Listing, complete: bool) -> None:
        """Apply overrides in the order of their acceptance."""
        by_revision = sorted(listing.documents, key=lambda document: document.revision)
        if complete:
            listed_names = {document.name for document in by_revision}
            for name in [
                name for name in self.view.overrides if name not in listed_names
            ]:
                self.view.remove_override(name)
        for document in by_revision:
            if not document.content:
                self.view.remove_override(document.name)
                continue
            try:
                override = documents.decode_override(document.name, document.content)
            except documents.DocumentError as error:
                self.record_unreadable(documents.OVERRIDES_KIND, error)
                continue
            self.view.apply_override(override)
