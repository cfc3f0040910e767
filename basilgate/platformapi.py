"""Client of the platform's HTTP API for stored objects."""

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
from platformedge import bounds, jsonparts

LOGGER = logbook.Logger("platformapi")

BUDGET_BURST_CALLS = 20.0  # Calls that may be made at once after a pause.
# A write without a usable answer is settled: the object is read back to find out
# whether the write took effect. The platform may still be recovering, so this is tried
# a few times.
SETTLE_ATTEMPTS = 5
# The first attempt follows at once; attempt n waits n - 1 times this before.
SETTLE_PAUSE_S = 0.2
SETTLE_LIMIT_S = 15.0  # Time limit of all attempts for one write together.
# Lowest time limit of a read. The platform can take 5 s to answer for long periods, in
# which configuration still has to arrive. A watch has stalled if it gives no answer for
# this time after the waiting time that it requested.
SLOW_ANSWER_S = 6.0


OBJECTS_MEMBER = b'"objects"'  # Name of a listing's member, as JSON.
# Stands for a value that cannot be read. No kind of object has this field, so such an
# object is refused by its name, as any other malformed one.
UNREADABLE: dict[str, typing.Any] = {"unreadable": True}


class ProblemKind(enum.Enum):
    """Why a call to the platform gave no result."""

    UNAVAILABLE = "unavailable"  # No connection was made, or status 429 or 503.
    CONFLICT = "conflict"  # The object has another version than expected.
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"  # The object exceeds the size limit of the store.
    # The revision is older than the history that the store keeps, or than the revision
    # that this host has already applied.
    TOO_OLD = "too_old"
    # The request was sent, but no usable answer came back.
    OUTCOME_UNKNOWN = "outcome_unknown"
    # The call was not made: the host's call budget is used up.
    OVER_BUDGET = "over_budget"
    INVALID = "invalid"  # The answer does not have the documented form.


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Reason why a call gave no result.

    Attributes
    ----------
    kind : ProblemKind
        Class of the problem, on which callers decide.
    detail : str
        Object name, HTTP status, or exception, for logs and messages.
    version : int
        Version of the object or of its removal that the platform reported, 0 if
        none.
    """

    kind: ProblemKind
    detail: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects that the platform returned in one answer.

    Attributes
    ----------
    revision : int
        Revision of the store that the answer reflects.
    objects : list of storedobjects.StoredObject
        All objects under a prefix, or those that changed during a watch.
    """

    revision: int
    objects: list[storedobjects.StoredObject]


class CallBudget:
    """Token bucket that limits the calls a second of one host.

    Parameters
    ----------
    calls_per_s : float
        Calls that become available each second, up to `BUDGET_BURST_CALLS`.
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.available_calls = BUDGET_BURST_CALLS
        self.refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Use one call of the budget; return False if none is left."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.calls_per_s
        self.available_calls = min(BUDGET_BURST_CALLS, self.available_calls + refill)
        self.refilled_at = now
        if self.available_calls < 1:
            return False
        self.available_calls -= 1
        return True


class PlatformClient:
    """Asynchronous client of the object API that limits its own rate of calls.

    A failed call raises no exception: each method returns a `Result` that holds the
    answer or a `Problem`.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    calls_per_s : float
        Highest average number of calls a second; a watch counts as one call.
    timeout_s : float
        Time limit of one write in seconds. Reads may take `SLOW_ANSWER_S` if that
        is longer.
    local_address : str or None
        IP address from which to connect, None to leave it to the system.
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
        """Make one call within the budget and return the decoded JSON answer.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the base URL.
        timeout_s : float or None
            Time limit of the call in seconds, None for the limit of a write.
        **options
            Further arguments of the HTTP request, such as `json` and `params`.
        """
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
        """Send one request and return the decoded answer or the problem.

        The time limit covers the whole exchange: a server that sends its answer byte by
        byte, or never closes the connection, does not extend it.
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
        return answer.bind(parse_safely(parse_read_object))

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

        If no usable answer comes back, the object is read and its operation id compared
        with that of the write. `OUTCOME_UNKNOWN` is returned if the platform cannot be
        read, or if the stored object does not show whether the write took effect.
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
        """Find out whether a write without a usable answer took effect.

        A conditional write on a version above 0 is repeated: versions only rise, so at
        most one copy takes effect. The creation of an object is never repeated: the
        first request may have taken effect and another writer may have removed the
        object since, and the second request would create it again.
        """
        body = {"value": dict(written), "expect_version": expect_version}
        for attempt in range(SETTLE_ATTEMPTS):
            await anyio.sleep(SETTLE_PAUSE_S * attempt)
            read_back = await self.get(name)
            if isinstance(read_back, result.Success):
                stored = read_back.unwrap()
                if operation_of(stored) == written["operation"]:
                    logs.event(LOGGER.info, "write_settled", object=name, accepted=True)
                    return read_back
                if stored.version == expect_version + 1 and expect_version > 0:
                    # Another write created the version that this one would have
                    # created.
                    problem = Problem(ProblemKind.CONFLICT, name, stored.version)
                    return result.Failure(problem)
                if stored.version > expect_version:
                    # This write may have been accepted and replaced since.
                    break
                if stored.version < expect_version:
                    # The answer came from a stale replica of the store and proves
                    # nothing.
                    continue
            elif read_back.failure().kind is not ProblemKind.NOT_FOUND:
                continue
            if expect_version == 0:
                continue
            answer = await self.call("PUT", f"/objects/{name}", json=body)
            repeated_write = answer.bind(parse_safely(parse_object))
            if not is_outcome_unknown(repeated_write) and not is_conflict(
                repeated_write
            ):
                return repeated_write
        return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))

    async def delete(
        self, name: str, version: int
    ) -> result.Result[storedobjects.StoredObject, Problem]:
        """Remove an object if its version is `version`, and return its tombstone.

        A removal without a usable answer is repeated, which cannot remove a later
        object because the removal is conditional on the version. If a repetition finds
        no object, an earlier attempt is taken to have removed it.
        """
        path = f"/objects/{name}"
        for attempt in range(SETTLE_ATTEMPTS):
            await anyio.sleep(SETTLE_PAUSE_S * attempt)
            answer = await self.call("DELETE", path, params={"version": version})
            removed = answer.bind(parse_safely(parse_object))
            if not is_outcome_unknown(removed):
                removed_earlier = (
                    attempt > 0
                    and isinstance(removed, result.Failure)
                    and removed.failure().kind is ProblemKind.NOT_FOUND
                )
                if removed_earlier:
                    tombstone_version = removed.failure().version or version + 1
                    return result.Success(
                        storedobjects.StoredObject(name, tombstone_version, 0, None)
                    )
                return removed
        return result.Failure(Problem(ProblemKind.OUTCOME_UNKNOWN, name))

    async def watch(self, since: int, wait_s: float) -> result.Result[Listing, Problem]:
        """Return the objects that changed after revision `since`.

        The platform answers at the first change, or after `wait_s` seconds with no
        objects.
        """
        answer = await self.call(
            "GET",
            "/watch",
            timeout_s=wait_s + self.read_timeout_s,
            params={"since": since, "timeout": wait_s},
        )
        return answer.bind(parse_safely(parse_listing))


def operation_of(stored: storedobjects.StoredObject) -> str | None:
    """Return the id of the operation that wrote an object, None without one."""
    return stored.value.get("operation") if stored.value else None


def is_outcome_unknown(answer: result.Result[typing.Any, Problem]) -> bool:
    """Return whether a write may have taken effect without a usable answer."""
    return isinstance(answer, result.Failure) and answer.failure().kind in (
        ProblemKind.OUTCOME_UNKNOWN,
        ProblemKind.INVALID,
    )


def is_conflict(answer: result.Result[typing.Any, Problem]) -> bool:
    """Return whether a write was refused because the version differs."""
    return (
        isinstance(answer, result.Failure)
        and answer.failure().kind is ProblemKind.CONFLICT
    )


def decode_response(
    response: httpx.Response,
) -> result.Result[dict[str, typing.Any], Problem]:
    """Return the JSON object in a response, or the problem that its status means."""
    try:
        body = response.json()
    except (ValueError, RecursionError):
        body = split_body(response.content)
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


def split_body(content: bytes) -> dict[str, typing.Any]:
    """Return what can be read of a body that does not decode as a whole.

    An unreadable value, such as one that is nested too deep, becomes `UNREADABLE`, so
    that it hides neither its object's name nor the other objects. The result is empty
    if the body is neither a listing nor an object with a name.
    """
    try:
        members = jsonparts.members(content)
        raw_objects = members.pop(OBJECTS_MEMBER, None)
        body = decode_members(members)
        if raw_objects is not None:
            body["objects"] = [
                decode_members(jsonparts.members(raw))
                for raw in jsonparts.elements(raw_objects)
            ]
    except (ValueError, TypeError, RecursionError):
        # TypeError: a member's name is no text.
        return {}
    has_name = isinstance(body.get("name"), str)
    return body if raw_objects is not None or has_name else {}


def decode_members(
    members: collections.abc.Mapping[bytes, bytes],
) -> dict[str, typing.Any]:
    """Return a JSON object's members, decoded one by one.

    Raises
    ------
    ValueError, TypeError, RecursionError
        If a member's name is malformed.
    """
    decoded = {}
    for name, value in members.items():
        try:
            decoded[json.loads(name)] = json.loads(value)
        except (ValueError, RecursionError):
            decoded[json.loads(name)] = UNREADABLE
    return decoded


Parsed = typing.TypeVar("Parsed")


def parse_safely(
    parse: collections.abc.Callable[[dict[str, typing.Any]], Parsed],
) -> collections.abc.Callable[[dict[str, typing.Any]], result.Result[Parsed, Problem]]:
    """Wrap `parse` to return a `Problem` for a malformed answer instead of raising."""

    def parse_or_problem(body: dict[str, typing.Any]) -> result.Result[Parsed, Problem]:
        try:
            return result.Success(parse(body))
        except (
            KeyError,
            TypeError,
            ValueError,
            OverflowError,
            RecursionError,
        ) as error:
            return result.Failure(Problem(ProblemKind.INVALID, repr(error)))

    return parse_or_problem


def parse_object(body: dict[str, typing.Any]) -> storedobjects.StoredObject:
    """Return the stored object in a decoded answer.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or has the wrong type, or a number is out of bounds.
    """
    value = body["value"]
    if value is not None and not isinstance(value, dict):
        raise ValueError("value is not an object")
    return storedobjects.StoredObject(
        str(body["name"]), natural(body["version"]), natural(body["revision"]), value
    )


def parse_read_object(body: dict[str, typing.Any]) -> storedobjects.StoredObject:
    """Return an object that was read; `UNREADABLE` takes the place of an odd value.

    Another writer may have left it. It must not hide the other objects of a listing.

    Raises
    ------
    KeyError, TypeError, ValueError
        If another field is missing or has the wrong type.
    """
    is_odd = not isinstance(body["value"], dict | None)
    return parse_object({**body, "value": UNREADABLE} if is_odd else body)


def natural(value: typing.Any) -> int:
    """Return a number of a version or revision.

    Raises
    ------
    ValueError
        If it is none.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{type(value).__name__} is not a number of a revision")
    if not 0 <= value <= bounds.LARGEST_REVISION:
        raise ValueError("number of a revision is out of bounds")
    return value


def parse_listing(body: dict[str, typing.Any]) -> Listing:
    """Return the listing in a decoded answer.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or has the wrong type.
    """
    return Listing(
        natural(body["revision"]), [parse_read_object(o) for o in body["objects"]]
    )
