"""Suspect and unreachable targets, judged by packets that get no reply.

A repeated opening packet, or a request repeated twice without an acknowledgement, is
evidence of a failed target some seconds before the store removes its entry. A suspect
target gets no new flows while other targets are left. An unreachable one is confirmed
to be out of reach, and its flows are reset.
"""

import collections.abc
import typing

import msgspec

from basilgate import counters, eventlog

# A suspicion ends after this time, doubled for each failure in a row, so that the
# target gets new flows again. It is half the time of three missed heartbeats, after
# which the store removes the target's entry.
FIRST_SUSPICION_S = 2.0
MAX_SUSPICION_S = 8.0  # A recovered target gets new flows again within this time.
PEER_EVIDENCE_LIFETIME_S = 0.6  # Four report intervals; a peer may skip this host.
# Shorter than the time after the repair of a link for which the platform still accepts
# that flows over this link are reset.
UNREACHABLE_FOR_S = 1.5
# Lasts until the store has removed a failed target's entry: three missed heartbeats and
# a late watch response.
SUSPECT_AFTER_UNREACHABLE_S = 4.0
# Age up to which a flow's evidence counts together with that of others. Those of a
# failed target wait at the same time; lost packets of a live one are single events.
EVIDENCE_LIFETIME_S = 4.0
# Proof by a peer's report and one repetition here.
PEER_PROOF = "neighbour_and_repetition"
# Under load a live target replies many times within this time.
REPLY_AGE_LIMIT_S = 0.5


class FailureRecord(msgspec.Struct, gc=False):
    """Evidence that one target has failed; times are monotonic, in seconds.

    Attributes
    ----------
    suspect_until : float
        When the suspicion by this host ends; 0 without one.
    failures : int
        Suspicions in a row without a reply, at most 8.
    replied_at : float
        When the target last replied to a flow of this host; 0 if it never did.
    peer_suspect_until : float
        When the suspicion that a peer has reported ends; 0 without one.
    flows : dict of bytes to float
        Flows that gave evidence since the record was last reset, each with the time of
        its last one.
    unreachable_until : float
        Until when this host resets flows to the target; 0 if it never did.
    peer_unreachable_until : float
        Until when a peer's report that the target is unreachable holds; 0 without one.
    last_unreachable_until : float
        The latest of the last two that was ever set. It survives a reply, after which
        the target may still be cold from its restart.
    run : int
        `fleetmodel.Target.started_ms` of the run to which the evidence belongs, 0 if
        it is not known.
    proof : str
        Why the target was last marked as unreachable; empty if it never was.
    marked_at : float
        When this host last marked the target as unreachable; 0 if it never did.
    """

    suspect_until: float = 0.0
    failures: int = 0
    replied_at: float = 0.0
    peer_suspect_until: float = 0.0
    flows: dict[bytes, float] = msgspec.field(default_factory=dict)
    unreachable_until: float = 0.0
    peer_unreachable_until: float = 0.0
    last_unreachable_until: float = 0.0
    run: int = 0
    proof: str = ""
    marked_at: float = 0.0

    def quiet_s(self, now: float) -> float | str:
        """Return the time since the last reply here in seconds, "never" without one."""
        return now - self.replied_at if self.replied_at else "never"

    def reset(self) -> None:
        """Remove all evidence, but keep when it last replied and was unreachable."""
        self.suspect_until = self.peer_suspect_until = 0.0
        self.unreachable_until = self.peer_unreachable_until = 0.0
        self.failures = 0
        self.flows.clear()


class Suspicions:
    """Records evidence against targets, and decides which are suspect.

    Not safe for threads: `ForwarderProcess.lock` guards each use. `now` is always
    `clock.steady_s()`; targets are given by name.

    Parameters
    ----------
    log : eventlog.EventLog
        Receives an event when a suspicion begins or ends by a reply, and when a target
        is marked as unreachable.
    counts : counters.Counters
        Counts suspicions by evidence.
    """

    def __init__(self, log: eventlog.EventLog, counts: counters.Counters) -> None:
        self.log = log
        self.counts = counts
        self.records: dict[str, FailureRecord] = {}
        # Targets that are unreachable by the last report of a peer, by its name.
        self.lost_at_peers: dict[str, set[str]] = {}
        # When a target of a failure domain last replied, in monotonic seconds.
        self.domain_replied_at: dict[str, float] = {}

    def record_for(self, target: str) -> FailureRecord:
        """Return the record of a target, and create it if there is none."""
        record = self.records.get(target)
        if record is None:
            record = self.records[target] = FailureRecord()
        return record

    def begin_run(self, target: str, run: int) -> None:
        """Start a record for a new run of a target; `run` is as in `FailureRecord`.

        Of the earlier run only the time remains until which it was unreachable, since
        the new one may be cold.
        """
        previous = self.record_for(target)
        self.records[target] = FailureRecord(
            run=run, last_unreachable_until=previous.last_unreachable_until
        )
        for lost in self.lost_at_peers.values():
            lost.discard(target)

    def record_failure(
        self,
        target: str,
        flow_id: bytes | None,
        evidence: str,
        since: float,
        now: float,
    ) -> bool:
        """Suspect a target unless it has replied after a packet that it was sent.

        Parameters
        ----------
        target : str
            Name of the target.
        flow_id : bytes or None
            Flow of the packet, as in `fleetmodel.Packet.flow`. None if the evidence is
            too weak to count towards the proof that the target is unreachable.
        evidence : str
            Kind of evidence, for logs and metrics.
        since : float
            Monotonic time at which the packet was sent, in seconds.
        now : float
            Current monotonic time in seconds.

        Returns
        -------
        bool
            Whether a new suspicion begins.
        """
        record = self.record_for(target)
        if record.replied_at > since:
            return False
        if flow_id is not None:
            record.flows[flow_id] = now
        if record.suspect_until > now:
            return False
        duration_s = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**record.failures)
        record.failures = min(record.failures + 1, 8)
        record.suspect_until = now + duration_s
        self.counts.add("suspicions_total", evidence=evidence)
        self.log.write(
            "target_suspected",
            target=target,
            evidence=evidence,
            pause_s=duration_s,
            run=record.run,
            evidence_s=now - since,
            quiet_s=record.quiet_s(now),
        )
        return True

    def record_peer_failure(
        self, target: str, unreachable: bool, now: float, peer: str = ""
    ) -> None:
        """Record a peer's suspicion, unless the target has recently replied here.

        `unreachable` is whether the peer has confirmed that the target is unreachable,
        and `peer` its name for the log.
        """
        record = self.record_for(target)
        if now - record.replied_at > REPLY_AGE_LIMIT_S:
            record.peer_suspect_until = now + PEER_EVIDENCE_LIFETIME_S
            if unreachable:
                if record.peer_unreachable_until <= now:
                    self.log.write(
                        "target_lost_at_neighbour",
                        target=target,
                        neighbour=peer,
                        run=record.run,
                        quiet_s=record.quiet_s(now),
                    )
                record.peer_unreachable_until = now + PEER_EVIDENCE_LIFETIME_S
                record.last_unreachable_until = max(
                    record.last_unreachable_until, record.peer_unreachable_until
                )

    def replace_peer_proofs(self, peer: str, lost: set[str]) -> None:
        """End what a peer no longer reports as unreachable, unless another one does."""
        ended = self.lost_at_peers.pop(peer, set()) - lost
        if lost:
            self.lost_at_peers[peer] = lost
        for target in ended.difference(*self.lost_at_peers.values()):
            self.record_for(target).peer_unreachable_until = 0.0

    def record_reply(self, target: str, domain: str, now: float) -> None:
        """Record a reply, which clears all evidence, also that of peers.

        `domain` is the failure domain of the target.
        """
        record = self.record_for(target)
        record.replied_at = self.domain_replied_at[domain] = now
        if record.failures or record.suspect_until or record.peer_suspect_until:
            if record.suspect_until > now:
                self.log.write("target_cleared", target=target)
            record.reset()

    def forget_flows(self) -> None:
        """Forget which flows wait for targets; suspicions in force stay."""
        for record in self.records.values():
            record.flows.clear()

    def clear_failures(self, targets: collections.abc.Iterable[str]) -> None:
        """Remove the evidence against targets that can be reached again."""
        for target in targets:
            record = self.records.get(target)
            if record is not None:
                record.reset()

    def is_suspect(self, target: str, now: float) -> bool:
        """Return whether a target is suspect, here or at a peer, or unreachable."""
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
        """Return the targets that are suspect by this host's own evidence."""
        return [
            name
            for name, record in self.records.items()
            if record.suspect_until > now
            and (record.failures or record.proof != PEER_PROOF)
        ]

    def replied_since(self, target: str, since: float) -> bool:
        """Return whether a target has replied after a monotonic time in seconds."""
        record = self.records.get(target)
        return record is not None and record.replied_at > since

    def domain_replied_since(self, domain: str, since: float) -> bool:
        """Return whether a target of a failure domain has replied after a time."""
        return self.domain_replied_at.get(domain, 0.0) > since

    def evidence_count(self, target: str, now: float) -> int:
        """Return the number of flows with evidence, plus one if a peer has some.

        Evidence older than `EVIDENCE_LIFETIME_S` is removed.
        """
        record = self.records.get(target)
        if record is None:
            return 0
        record.flows = {
            flow_id: at
            for flow_id, at in record.flows.items()
            if now - at <= EVIDENCE_LIFETIME_S
        }
        return len(record.flows) + (record.peer_suspect_until > now)

    def mark_unreachable(self, target: str, proof: str, now: float) -> None:
        """Mark a target as unreachable for `UNREACHABLE_FOR_S`.

        `proof` is `PEER_PROOF`, which leaves a mark that is in force as it is, or names
        the proof of this host for the log.
        """
        record = self.record_for(target)
        if record.unreachable_until > now and proof == PEER_PROOF:
            return
        if record.unreachable_until <= now:
            self.log.write(
                "target_lost",
                target=target,
                proof=proof,
                evidence_count=self.evidence_count(target, now),
                lost_at_peer=record.peer_unreachable_until > now,
                quiet_s=record.quiet_s(now),
                run=record.run,
            )
        record.proof, record.marked_at = proof, now
        record.unreachable_until = now + UNREACHABLE_FOR_S
        record.last_unreachable_until = record.unreachable_until
        record.suspect_until = max(
            record.suspect_until, now + SUSPECT_AFTER_UNREACHABLE_S
        )

    def describe_mark(self, target: str, now: float) -> dict[str, typing.Any]:
        """Return what the log tells of the reason why a target's flow is reset."""
        record = self.record_for(target)
        return {
            "proof": record.proof or "none",
            "proof_s": now - record.marked_at if record.marked_at else "never",
            "proof_run": record.run,
            "quiet_s": record.quiet_s(now),
        }

    def own_unreachable(self, now: float) -> list[str]:
        """Return the targets that are unreachable by this host's own proof.

        Those marked by the proof of a peer are not reported: peers would otherwise
        confirm each other's marks without any new evidence.
        """
        return [
            name
            for name, record in self.records.items()
            if record.unreachable_until > now and record.proof != PEER_PROOF
        ]

    def is_unreachable_at_peer(self, target: str, now: float) -> bool:
        """Return whether a peer has confirmed that a target is unreachable."""
        record = self.records.get(target)
        return record is not None and record.peer_unreachable_until > now

    def is_unreachable(self, target: str, now: float) -> bool:
        """Return whether this host has marked a target as unreachable."""
        record = self.records.get(target)
        return record is not None and record.unreachable_until > now
