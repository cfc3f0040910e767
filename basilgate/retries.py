"""Retries of idempotent requests at other targets, limited by a budget."""

import collections.abc
import dataclasses

from basilgate import metrics, placement, reasons, requestrecords, targetowner, wire

# Retries per request, averaged over many requests.
RETRY_SHARE = 0.1
# Largest number of unused retries that a budget saves up.
MAX_BALANCE = 10.0


class RetryBudget:
    """Limits the retries of one service to a share of its requests.

    Parameters
    ----------
    share : float
        Retries earned by each request.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self.share = share
        # Number of retries that may be made now.
        self.balance = 0.0

    def deposit(self) -> None:
        """Add the share that a request earns."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if less than one is left."""
        # Ten deposits of 0.1 add up to slightly less than 1 in floating point.
        if self.balance < 1 - 1e-9:
            return False
        self.balance -= 1
        return True


@dataclasses.dataclass(slots=True)
class RequestPassing:
    """Passes idempotent requests on to the owners of other targets.

    Attributes
    ----------
    candidates : callable
        Returns the usable targets of a service id in this host's failure domain.
    mint : callable
        Returns a placement token for a target and a flow id.
    deliver : callable
        Routes a frame to the owner of the target that its token names, as if it
        came from the given caller.
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
        """Pass a request on to another target and mark its record as passed.

        `flag` is `wire.FLAG_SPILLED` or `wire.FLAG_RETRIED`. The passed request carries
        it and those of earlier passes; their number is how often the request was passed
        on.
        """
        frame = record.frame
        assert frame is not None
        owner.mark_passed(record, self.mint(chosen, record.flow), flag)
        await self.resend(record, frame)

    async def resend(self, record: requestrecords.Record, frame: wire.Frame) -> None:
        """Send a frame of a caller to the target that its request was passed to."""
        flags = frame.flags
        attempt = frame.attempt
        if frame.kind is wire.Kind.REQUEST:
            flags |= record.received_pass_flags | record.sent_pass_flag
            flags |= wire.FLAG_STARTED if record.forwarded else 0
            attempt = min(attempt + 1, 255)
        passed_frame = dataclasses.replace(
            frame, token=record.passed_token, flags=flags, attempt=attempt
        )
        await self.deliver(passed_frame, record.caller)


class Retrier:
    """Retries failed idempotent requests at other targets.

    A request is retried only at a target with a free slot and an empty queue, so that
    retries do not add load during a peak or an outage.

    Parameters
    ----------
    passing : RequestPassing
        Passes the request on to the chosen target.
    choose : placement.Choice
        Chooses one of the targets with room.
    share : float
        Retries for each request of a service.
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
        # Budget of each service, by service id.
        self.budgets: dict[int, RetryBudget] = {}

    def budget(self, service: int) -> RetryBudget:
        """Return the retry budget of a service, made at its first use."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.share)
        return self.budgets[service]

    def record_request(self, service: int) -> None:
        """Add the share of a new request to the retry budget of its service."""
        self.budget(service).deposit()

    async def retry(
        self, owner: targetowner.TargetOwner, record: requestrecords.Record
    ) -> reasons.Reason:
        """Retry a failed request; return NONE, or why it was not retried."""
        # A request without a frame has ended or was passed on. Callers check beforehand
        # that it is idempotent, and of the reasons report only RETRY_BUDGET.
        if not record.idempotent or record.frame is None or record.cancel.is_set():
            return reasons.Reason.CANCELLED
        service_s = owner.admission.service_s(record.work_class)
        if targetowner.now_ms() + 1000 * service_s >= record.deadline_ms:
            return reasons.Reason.DEADLINE_UNREACHABLE
        if record.received_pass_flags & wire.FLAG_RETRIED:
            # A second retry could go to the target that failed first.
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
