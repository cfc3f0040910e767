"""Chooses between two states of a document, also across a return of the store.

Within an era the store's revisions order all changes. When the store comes back from a
copy of its data, changes that it had accepted are missing, and later changes get their
revisions. What was known before is then compared by what the document's writer wrote.
"""

import collections.abc

import msgspec

from basilgate import fleetmodel, registry
from platformedge import documents, store

Merge = collections.abc.Callable[
    [documents.StoredDocument, documents.StoredDocument, fleetmodel.Position],
    documents.StoredDocument,
]
# Functions that return the newer of a cached and an incoming document of a kind, with
# the position up to which both sides together know the kind.
MERGES: registry.Registry[Merge] = registry.Registry("kind of document")
Order = collections.abc.Callable[[bytes, bool], tuple[float, ...]]

# Nobody writes these again when the store comes back from a copy without them, or the
# host that knows them must not go back meanwhile, so a copy without them removes none.
OPERATOR_KINDS = (
    documents.CONFIG_KIND,
    documents.OVERRIDES_KIND,
    documents.EVACUATIONS_KIND,
)
# Time in seconds for which documents that a copy lacks stay known, by kind; other kinds
# have no limit. Operators write evacuations again within 15 s of the store's return;
# holds are checked every 0.5 s (`forwarder.MAINTENANCE_INTERVAL_S`).
HOLD_S = {documents.EVACUATIONS_KIND: 14.5}


def later(
    cached: documents.StoredDocument, incoming: documents.StoredDocument
) -> documents.StoredDocument:
    """Return the document with the later position, the incoming one if both are."""
    return incoming if incoming.position >= cached.position else cached


def merge_by_era(
    cached: documents.StoredDocument,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
    order: Order,
) -> documents.StoredDocument:
    """Return the document with the later position, unless the copy lacks its changes.

    A document from before the store's return wins over one from after it if its writer
    wrote it later, by `order`. It then gets the position `until`: changes that the
    store accepts from there on replace it. One from a listing that may be old never
    wins.
    """
    after = later(cached, incoming)
    before = cached if after is incoming else incoming
    if before.position.era in (after.position.era, store.UNCONFIRMED_ERA):
        return after
    if after.removed:
        return after
    after_order = order(after.content, after.removed)
    if not after_order or order(before.content, before.removed) <= after_order:
        return after
    return msgspec.structs.replace(before, position=max(after.position, until))


@MERGES.register(documents.CONFIG_KIND)
def merge_configurations(
    cached: documents.StoredDocument,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
) -> documents.StoredDocument:
    """Return the configuration with the higher version, which is never removed."""
    del until
    if incoming.removed:
        return cached
    cached_order = documents.configuration_order(cached.content)
    incoming_order = documents.configuration_order(incoming.content)
    if cached_order == incoming_order:
        return later(cached, incoming)
    return incoming if incoming_order > cached_order else cached


@MERGES.register(documents.TARGETS_KIND)
def merge_targets(
    cached: documents.StoredDocument,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
) -> documents.StoredDocument:
    """Return the newer entry of a target.

    An entry from a listing that may be old is the newer one if the same run of the
    target wrote it later, as its count of reports shows.
    """
    newer = merge_by_era(cached, incoming, until, documents.target_order)
    other = cached if newer is incoming else incoming
    if other.position.era != store.UNCONFIRMED_ERA or newer.removed or other.removed:
        return newer
    newer_order = documents.target_order(newer.content, newer.removed)
    other_order = documents.target_order(other.content, other.removed)
    if other_order[:1] != newer_order[:1] or other_order <= newer_order:
        return newer
    return msgspec.structs.replace(other, position=max(newer.position, until))


@MERGES.register(documents.OVERRIDES_KIND)
def merge_overrides(
    cached: documents.StoredDocument,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
) -> documents.StoredDocument:
    """Return the newer override of a target."""
    return merge_by_era(cached, incoming, until, documents.override_order)


@MERGES.register(documents.EVACUATIONS_KIND)
def merge_evacuations(
    cached: documents.StoredDocument,
    incoming: documents.StoredDocument,
    until: fleetmodel.Position,
) -> documents.StoredDocument:
    """Return the later state of an evacuation.

    Its content has no order. One that comes back with the copy is in force until the
    operator removes it again.
    """
    del until
    return later(cached, incoming)
