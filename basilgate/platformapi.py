"""Client of the platform's object API."""

import collections.abc
import dataclasses
import enum
import json
import time
import types
import typing
import uuid

import anyio
import httpx
import logbook
from returns import result

from basilgate import logs, metrics, storedobjects

LOGGER = logbook.Logger("platformapi")

BUDGET_BURST_CALLS = 20.0
# Reading back settles a write whose answer was lost; the platform may still be
# recovering, so a few attempts are made.
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.2
SETTLE_LIMIT_S = 15.0
# The platform can take 5 s to answer for long periods. Reads and watches allow
# that, so that configuration still arrives; a watch that is silent for longer
# than its waiting time and this slack has stalled.
SLOW_ANSWER_S = 6.0


class ProblemKind(enum.Enum):
    """Why a call to the platform gave no result."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    TOO_OLD = "too_old"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVER_BUDGET = "over_budget"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A call that gave no result; `version` is the current one on a conflict."""

    kind: ProblemKind
    detail: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects at one revision of the store."""

    revision: int
    objects: list[storedobjects.StoredObject]


class CallBudget:
    """Token bucket that bounds the calls a second of one host."""

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.available_calls = BUDGET_BURST_CALLS
        self.refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Take one call from the budget; False if it is used up."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.calls_per_s
        self.available_calls = min(BUDGET_BURST_CALLS, self.available_calls + earned)
        self.refilled_at = now
        if self.available_calls < 1:
            return False
        self.available_calls -= 1
        return True


class PlatformClient:
    """Calls to the platform; each method returns a `Result` with a `Problem`.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    calls_per_s : float
        Budget of calls a second; a waiting watch counts as one call.
    timeout_s : float
        Time limit of one write. Reads may take `SLOW_ANSWER_S` if that is longer.
    local_address : str or None
        IP number from which to connect.
    """

    def __init__(
        self,
        url: str,
        calls_per_s: float = 1_000.0,
        timeout_s: float = 2.0,
        local_address: str | None = None,
    ) -> None:
        self.budget = CallBudget(calls_per_s)
        self.timeout_s = timeout_s
        transport = httpx.AsyncHTTPTransport(local_address=local_address)
        self.http = httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=transport, trust_env=False
        )

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            await self.http.aclose()

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        **options: typing.Any,
    ) -> result.Result[dict[str, typing.Any], Problem]:
        """Make one call and return the decoded JSON answer."""
        if not self.budget.try_acquire():
            metrics.PLATFORM_CALLS.inc({"outcome": "over_budget"})
            return result.Failure(Problem(ProblemKind.OVER_BUDGET))
        answer = await self.exchange(method, path, timeout_s, options)
        outcome = (
            "ok" if isinstance(answer, result.Success) else answer.failure().kind.value
        )
        metrics.PLATFORM_CALLS.inc({"outcome": outcome})
        return answer

    async def exchange(
        self,
        method: str,
        path: str,
        timeout_s: float | None,
        options: dict[str, typing.Any],
    ) -> result.Result[dict[str, typing.Any], Problem]:
        """Send one request and classify what comes back.

        The time limit covers the whole exchange: a connection that trickles or
        never closes does not extend it.
        """
        limit_s = timeout_s or self.timeout_s
        timeout = httpx.Timeout(self.timeout_s, read=limit_s)
        try:
            with anyio.fail_after(limit_s):
                response = await self.http.request(
                    method, path, timeout=timeout, **options
                )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return result.Failure(Problem(ProblemKind.UNAVAILABLE, repr(error)))
        except (TimeoutError, httpx.HTTPError) as error:
            return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, repr(error)))
        return decode_response(response)

    @property
    def read_timeout_s(self) -> float:
        """Time limit of one read in seconds."""
        return max(self.timeout_s, SLOW_ANSWER_S)

    async def get(
        self, name: str
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Return one object."""
        answer = await self.call("GET", f"/objects/{name}", self.read_timeout_s)
        return answer.bind(parse_safely(parse_object))

    async def list(self, prefix: str = "") -> result.Result[Listing, Problem]:
        """Return all objects whose names start with `prefix`."""
        answer = await self.call(
            "GET", "/objects", self.read_timeout_s, params={"prefix": prefix}
        )
        return answer.bind(parse_safely(parse_listing))

    async def put(
        self,
        name: str,
        value: collections.abc.Mapping[str, typing.Any],
        expect_version: int,
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Write an object if its version is `expect_version`, 0 to create it.

        A write whose answer was lost is settled by reading the object back and
        comparing the operation id. `OUTCOME_UNKNOWN` remains if the platform
        cannot be read, or if what it holds does not tell.
        """
        written = dict(value)
        written["operation"] = written.get("operation") or uuid.uuid4().hex
        body = {"value": written, "expect_version": expect_version}
        if len(json.dumps(body)) > storedobjects.MAX_OBJECT_BYTES:
            return result.Failure(Problem(ProblemKind.TOO_LARGE, name))
        answer = await self.call("PUT", f"/objects/{name}", json=body)
        stored = answer.bind(parse_safely(parse_object))
        if not is_outcome_unknown(stored):
            return stored
        with anyio.move_on_after(SETTLE_LIMIT_S):
            return await self.settle(name, written, expect_version)
        return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))

    async def settle(
        self,
        name: str,
        written: collections.abc.Mapping[str, typing.Any],
        expect_version: int,
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Find out whether a write whose answer was lost took effect.

        A conditional write on a version above 0 is repeated: versions only rise,
        so at most one copy takes effect. Creating an object is never repeated,
        because the first copy may have taken effect and a colleague may have
        removed the object since; the second copy would bring it back.
        """
        body = {"value": dict(written), "expect_version": expect_version}
        for attempt in range(SETTLE_ATTEMPTS):
            await anyio.sleep(SETTLE_PAUSE_S * attempt)
            found = await self.get(name)
            if isinstance(found, result.Success):
                stored = found.unwrap()
                if operation_of(stored) == written["operation"]:
                    logs.event(LOGGER.info, "write_settled", object=name, accepted=True)
                    return found
                if stored.version == expect_version + 1 and expect_version > 0:
                    # Another write took the version that this one would have got.
                    problem = Problem(ProblemKind.CONFLICT, name, stored.version)
                    return result.Failure(problem)
                if stored.version > expect_version:
                    # This write may have been accepted and replaced since.
                    break
                if stored.version < expect_version:
                    # A replica that lags behind tells nothing.
                    continue
            elif found.failure().kind is not ProblemKind.NOT_FOUND:
                continue
            if expect_version == 0:
                continue
            answer = await self.call("PUT", f"/objects/{name}", json=body)
            repeated = answer.bind(parse_safely(parse_object))
            if not is_outcome_unknown(repeated) and not is_conflict(repeated):
                return repeated
        return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))

    async def delete(
        self, name: str, version: int
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Remove an object if its version is `version`.

        A lost answer is settled by reading back; the removal is conditional on
        the version, so repeating it cannot remove a later object.
        """
        path = f"/objects/{name}"
        for attempt in range(SETTLE_ATTEMPTS):
            await anyio.sleep(SETTLE_PAUSE_S * attempt)
            answer = await self.call("DELETE", path, params={"version": version})
            removed = answer.bind(parse_safely(parse_object))
            if not is_outcome_unknown(removed):
                gone = (
                    attempt > 0
                    and isinstance(removed, result.Failure)
                    and removed.failure().kind is ProblemKind.NOT_FOUND
                )
                if gone:
                    tombstone = removed.failure().version or version + 1
                    return result.Success(
                        storedobjects.StoredObject(name, tombstone, 0, None)
                    )
                return removed
        return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))

    async def watch(self, since: int, wait_s: float) -> result.Result[Listing, Problem]:
        """Wait for changes after revision `since`, up to `wait_s` seconds.

        The listing holds the changed objects, none if nothing changed.
        """
        answer = await self.call(
            "GET",
            "/watch",
            timeout_s=wait_s + self.read_timeout_s,
            params={"since": since, "timeout": wait_s},
        )
        return answer.bind(parse_safely(parse_listing))


def operation_of(stored: storedobjects.StoredObject) -> str | None:
    """Return the id of the operation that wrote an object."""
    return stored.value.get("operation") if stored.value else None


def is_outcome_unknown(answer: result.Result[typing.Any, Problem]) -> bool:
    """Tell whether a write may have taken effect without a usable answer."""
    return isinstance(answer, result.Failure) and answer.failure().kind in (
        ProblemKind.OUTCOME_UNKNOWN,
        ProblemKind.INVALID,
    )


def is_conflict(answer: result.Result[typing.Any, Problem]) -> bool:
    """Tell whether a write was refused because the version differs."""
    return (
        isinstance(answer, result.Failure)
        and answer.failure().kind is ProblemKind.CONFLICT
    )


def decode_response(
    response: httpx.Response,
) -> result.Result[dict[str, typing.Any], Problem]:
    """Return the JSON answer, or the problem that the status stands for."""
    try:
        body = response.json()
    except ValueError:
        body = {}
    if not isinstance(body, dict):
        body = {}
    if response.status_code == 200:
        return result.Success(body)
    kinds = {
        404: ProblemKind.NOT_FOUND,
        409: ProblemKind.CONFLICT,
        410: ProblemKind.TOO_OLD,
        413: ProblemKind.TOO_LARGE,
        429: ProblemKind.UNAVAILABLE,
        503: ProblemKind.UNAVAILABLE,
    }
    kind = kinds.get(response.status_code, ProblemKind.OUTCOME_UNKNOWN)
    version = body.get("version", 0)
    return result.Failure(
        Problem(
            kind, str(response.status_code), version if isinstance(version, int) else 0
        )
    )


Parsed = typing.TypeVar("Parsed")


def parse_safely(
    parse: collections.abc.Callable[[dict[str, typing.Any]], Parsed],
) -> collections.abc.Callable[[dict[str, typing.Any]], result.Result[Parsed, Problem]]:
    """Return `parse` with malformed answers turned into a `Problem`."""

    def guarded(body: dict[str, typing.Any]) -> result.Result[Parsed, Problem]:
        try:
            return result.Success(parse(body))
        except (KeyError, TypeError, ValueError) as error:
            return result.Failure(Problem(ProblemKind.INVALID, repr(error)))

    return guarded


def parse_object(body: dict[str, typing.Any]) -> storedobjects.StoredObject:
    """Return the object in an answer of the platform."""
    value = body["value"]
    if value is not None and not isinstance(value, dict):
        raise ValueError("value is not an object")
    return storedobjects.StoredObject(
        str(body["name"]), int(body["version"]), int(body["revision"]), value
    )


def parse_listing(body: dict[str, typing.Any]) -> Listing:
    """Return the objects in an answer of the platform."""
    return Listing(int(body["revision"]), [parse_object(o) for o in body["objects"]])
