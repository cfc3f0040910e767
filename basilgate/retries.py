"""Passing idempotent requests on to other targets: retries and their budget."""

import collections.abc
import dataclasses

from basilgate import metrics, placement, reasons, requestrecords, targetowner, wire

# Retries per request, over any longer run of requests.
RETRY_SHARE = 0.1
# Unused budget is kept for this many retries.
MAX_BALANCE = 10.0


class RetryBudget:
    """Budget of the retries of one service: a share of its requests.

    Parameters
    ----------
    share : float
        Retries for each request.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self.share = share
        self.balance = 0.0

    def deposit(self) -> None:
        """Note a request that is not a retry."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; False if none is left."""
        # The tolerance covers the rounding of ten deposits of a tenth.
        if self.balance < 1 - 1e-9:
            return False
        self.balance -= 1
        return True


@dataclasses.dataclass(slots=True)
class RequestPassing:
    """Way of a request to the home of another target.

    Attributes
    ----------
    candidates : callable
        Returns the usable targets of a service in the own domain.
    mint : callable
        Returns a placement token of a flow for a target.
    deliver : callable
        Brings a caller's frame to the home that its token names.
    """

    candidates: collections.abc.Callable[[int], list[placement.Candidate]]
    mint: collections.abc.Callable[[placement.Candidate, int], bytes]
    deliver: collections.abc.Callable[
        [wire.Frame, wire.Address], collections.abc.Awaitable[None]
    ]

    async def send(
        self,
        owner: targetowner.TargetOwner,
        record: requestrecords.Record,
        chosen: placement.Candidate,
        flag: int,
    ) -> None:
        """Give a request to another target; the record here points to it.

        `flag` is `wire.FLAG_SPILLED` or `wire.FLAG_RETRIED`.
        """
        frame = record.frame
        assert frame is not None
        owner.mark_passed(record, self.mint(chosen, record.flow), flag)
        await self.resend(record, frame)

    async def resend(self, record: requestrecords.Record, frame: wire.Frame) -> None:
        """Send a frame about a request that was passed on after it."""
        flags = frame.flags
        attempt = frame.attempt
        if frame.kind is wire.Kind.REQUEST:
            flags |= record.received_pass_flags | record.sent_pass_flag
            flags |= wire.FLAG_STARTED if record.forwarded else 0
            attempt = min(attempt + 1, 255)
        passed = dataclasses.replace(
            frame, token=record.passed_token, flags=flags, attempt=attempt
        )
        await self.deliver(passed, record.caller)


class Retrier:
    """Tries idempotent requests that failed again at another target.

    A request is retried only at a target that is known to have room, so that
    retries add nothing to a crest or an outage.

    Parameters
    ----------
    passing : RequestPassing
        Way to the other target.
    choose : placement.Policy
        Choice among the targets with room.
    share : float
        Retries for each request of the service.
    """

    def __init__(
        self,
        passing: RequestPassing,
        choose: placement.Choice,
        share: float = RETRY_SHARE,
    ) -> None:
        self.passing = passing
        self.choose = choose
        self.share = share
        self.budgets: dict[int, RetryBudget] = {}

    def budget(self, service: int) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.share)
        return self.budgets[service]

    def record_request(self, service: int) -> None:
        """Note a request that is not a retry."""
        self.budget(service).deposit()

    async def retry(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> reasons.Reason:
        """Pass a failed request on; a reason other than NONE says why not."""
        if not record.idempotent or record.frame is None or record.cancel.is_set():
            return reasons.Reason.CANCELLED
        service_s = owner.admission.service_s(record.work_class)
        if targetowner.now_ms() + 1000 * service_s >= record.deadline_ms:
            return reasons.Reason.DEADLINE_UNREACHABLE
        if record.received_pass_flags & wire.FLAG_RETRIED:
            # A second retry could return to the target that failed first.
            return reasons.Reason.NO_TARGET
        with_room = [
            candidate
            for candidate in self.passing.candidates(owner.target.service)
            if candidate.target.id != owner.target.id and candidate.has_room
        ]
        if not with_room:
            return reasons.Reason.NO_TARGET
        if not self.budget(owner.target.service).spend():
            metrics.RETRIES.inc(
                {"service": owner.service.name, "outcome": "retry_budget"}
            )
            return reasons.Reason.RETRY_BUDGET
        metrics.RETRIES.inc({"service": owner.service.name, "outcome": "passed_on"})
        chosen = self.choose(with_room)
        await self.passing.send(owner, record, chosen, wire.FLAG_RETRIED)
        return reasons.Reason.NONE
