"""Relays the store's documents between hosts, so that few of them call the store.

In each failure domain the host that has run longest watches the store and is the
upstream of the others, its downstreams, over TCP. A downstream that receives nothing
for some time, or whose upstream cannot reach the store, chooses another
upstream or watches the store itself after a delay by rank. A host whose documents are
stale gets newer ones from the peer that has them. A host that starts while its calls to
the store fail uses any peer that has the documents.
"""
