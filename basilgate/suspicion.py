"""Targets that seem to be gone, judged by packets that get no reply.

An opening packet that the caller sends again, or a request that is sent again twice
without progress, is evidence against its target some seconds before its entry lapses.
A suspect target gets no new flow while others are left.
"""

import collections.abc

import msgspec

from basilgate import counters, eventlog

# A suspicion is tried again after this time, doubled for each failure in a row.
FIRST_SUSPICION_S = 2.0  # Half of three heartbeats, after which the entry lapses.
MAX_SUSPICION_S = 8.0  # A target that has come back is found within this time.
PEER_EVIDENCE_LIFETIME_S = 0.6  # Four rounds of reports; a neighbour may skip some.
# Below the time in which a healed link still excuses resets of flows that it carries.
UNREACHABLE_FOR_S = 1.5
SUSPECT_AFTER_UNREACHABLE_S = (
    4.0  # Three heartbeats and a late watch, until its entry lapses.
)
# Replies of a live target come many times a second under load.
REPLY_AGE_LIMIT_S = 0.5


class FailureRecord(msgspec.Struct, gc=False):
    """What is known against one target.

    `flows` are those that gave evidence since the target last replied. Until
    `unreachable_until` the target counts as gone, with all flows that it holds; until
    `peer_unreachable_until` it does for a neighbour.
    """

    suspect_until: float = 0.0
    failures: int = 0
    replied_at: float = 0.0
    peer_suspect_until: float = 0.0
    flows: set[bytes] = msgspec.field(default_factory=set)
    unreachable_until: float = 0.0
    peer_unreachable_until: float = 0.0

    def reset(self) -> None:
        """Forget all evidence."""
        self.suspect_until = self.peer_suspect_until = 0.0
        self.unreachable_until = self.peer_unreachable_until = 0.0
        self.failures = 0
        self.flows.clear()


class Suspicions:
    """Suspect targets by name."""

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts
        self.records: dict[str, FailureRecord] = {}

    def record_for(self, target: str) -> FailureRecord:
        """Return the record of a target, made when first needed."""
        record = self.records.get(target)
        if record is None:
            record = self.records[target] = FailureRecord()
        return record

    def record_failure(
        self, target: str, flow: bytes | None, evidence: str, since: float, now: float
    ) -> bool:
        """Suspect a target that got a packet at a time and has not replied since.

        Without a flow the evidence is too weak to count the target as gone. Returns
        whether a new suspicion begins.
        """
        record = self.record_for(target)
        if record.replied_at > since:
            return False
        if flow is not None:
            record.flows.add(flow)
        if record.suspect_until > now:
            return False
        duration_s = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**record.failures)
        record.failures = min(record.failures + 1, 8)
        record.suspect_until = now + duration_s
        self.counts.add("suspicions_total", evidence=evidence)
        self.log.write(
            "target_suspected", target=target, evidence=evidence, pause_s=duration_s
        )
        return True

    def record_peer_failure(self, target: str, unreachable: bool, now: float) -> None:
        """Note that a neighbour suspects a target that has been quiet here too.

        `lost` tells whether the neighbour has proof that it is gone.
        """
        record = self.record_for(target)
        if now - record.replied_at > REPLY_AGE_LIMIT_S:
            record.peer_suspect_until = now + PEER_EVIDENCE_LIFETIME_S
            if unreachable:
                record.peer_unreachable_until = now + PEER_EVIDENCE_LIFETIME_S

    def record_reply(self, target: str, now: float) -> None:
        """Note that a target has replied."""
        record = self.record_for(target)
        record.replied_at = now
        if record.failures:
            if record.suspect_until > now:
                self.log.write("target_cleared", target=target)
            record.reset()

    def clear_failures(self, targets: collections.abc.Iterable[str]) -> None:
        """Forget suspicions of targets that could not be reached meanwhile."""
        for target in targets:
            record = self.records.get(target)
            if record is not None:
                record.reset()

    def is_suspect(self, target: str, now: float) -> bool:
        """Tell whether a target is suspect, or counts as gone."""
        record = self.records.get(target)
        if record is None:
            return False
        return (
            max(
                record.suspect_until,
                record.peer_suspect_until,
                record.unreachable_until,
            )
            > now
        )

    def own_suspects(self, now: float) -> list[str]:
        """Return the targets that are suspect by evidence of this host."""
        return [
            name for name, record in self.records.items() if record.suspect_until > now
        ]

    def replied_since(self, target: str, since: float) -> bool:
        """Tell whether a target has replied since a time."""
        record = self.records.get(target)
        return record is not None and record.replied_at > since

    def evidence_count(self, target: str, now: float) -> int:
        """Return how many flows, and neighbours as one, speak against a target."""
        record = self.records.get(target)
        if record is None:
            return 0
        return len(record.flows) + (record.peer_suspect_until > now)

    def mark_unreachable(self, target: str, proof: str, now: float) -> None:
        """Take a target as gone for a while."""
        record = self.record_for(target)
        if record.unreachable_until <= now:
            self.log.write(
                "target_lost",
                target=target,
                proof=proof,
                evidence_count=self.evidence_count(target, now),
                lost_at_peer=record.peer_unreachable_until > now,
                quiet_s=now - record.replied_at if record.replied_at else "never",
            )
        record.unreachable_until = now + UNREACHABLE_FOR_S
        record.suspect_until = max(
            record.suspect_until, now + SUSPECT_AFTER_UNREACHABLE_S
        )

    def own_unreachable(self, now: float) -> list[str]:
        """Return the targets that count as gone here."""
        return [
            name
            for name, record in self.records.items()
            if record.unreachable_until > now
        ]

    def is_unreachable_at_peer(self, target: str, now: float) -> bool:
        """Tell whether a neighbour has proof that a target is gone."""
        record = self.records.get(target)
        return record is not None and record.peer_unreachable_until > now

    def is_unreachable(self, target: str, now: float) -> bool:
        """Tell whether a target counts as gone."""
        record = self.records.get(target)
        return record is not None and record.unreachable_until > now
