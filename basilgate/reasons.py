"""Reasons for dropping datagrams and for ending flows and requests.

Logs, metrics, and documentation use the lower-case member names.
"""

import enum


class Reason(enum.IntEnum):
    """Why a datagram was dropped, or a connection, flow, or request refused or ended.

    The values are the reason codes on the wire.
    """

    NONE = 0  # Nothing was dropped or refused.

    # Datagrams that are dropped without a reply.
    MALFORMED = 1
    TRUNCATED = 2
    OVERSIZED = 3
    UNSUPPORTED_VERSION = 4
    UNKNOWN_KIND = 5
    UNKNOWN_PEER = 6  # The sender is not a member of the failure domain's view.
    BAD_MAC = 7  # The message authentication code does not match.
    STALE_INCARNATION = 8  # Sent by an earlier start of the peer's process.
    TOO_MANY_HOPS = 9  # Passed between balancers more often than allowed.
    UNEXPECTED_KIND = 10  # A known kind that this receiver does not handle.
    DUPLICATE = 11
    # Waited in a socket while the process was paused, or was sent too long ago.
    STALE = 12

    # TLS connections that are refused.
    TLS_NO_CERTIFICATE = 13
    TLS_BAD_CERTIFICATE = 14
    TLS_FAILED = 15

    # Placement tokens that are rejected; the frames that carry them are dropped.
    TOKEN_FORGED = 20  # The signature does not match.
    TOKEN_EXPIRED = 21
    TOKEN_WRONG_SERVICE = 22
    TOKEN_UNKNOWN_KEY = 23  # Signed with a key that this host does not have.

    # Requests that were not run and flows that were not opened.
    NO_SUCH_SERVICE = 40
    NO_TARGET = 41  # No target of the service can take the flow or request.
    NO_HOME = 42  # No host is responsible for the target or for opening the flow.
    NO_AUTHORITY = 43  # The target's owner has no lease that lets it start requests.
    CONNECTIONS_FULL = 44  # The target has as many flows as the sheet allows.
    QUEUE_FULL = 45
    DEADLINE_UNREACHABLE = 46  # The answer is not expected before the deadline.
    DEADLINE_PASSED = 47
    DEADLINE_TOO_FAR = 48  # Beyond the longest deadline in the settings.
    CANCELLED = 49
    SHED_BY_TARGET = 50  # The target refused to start the request.
    START_BY_PASSED = 51  # Reached the target after its latest start time.
    TARGET_UNHEALTHY = 52
    TARGET_DRAINED = 53
    CALLER_SHARE = 54  # The caller already has its fair share of the queue.
    LIMIT = 55  # The adaptive limit of the queue, below its configured one, is reached.
    STOPPING = 56  # The host is shutting down.
    REQUEST_TOO_LARGE = 57
    NO_CONFIGURATION = 58  # The host has no usable configuration yet.
    RETRY_BUDGET = 59  # The service's retries have used up their share of requests.
    EVACUATED = 61  # The only targets left are in evacuated failure domains.

    # Capacity is short, and flows of a higher priority are served first.
    NO_ROOM = 60

    # Requests whose outcome is unknown.
    HOME_CHANGED = 80  # The previous owner of the target may have run the request.
    TARGET_CONNECTION_LOST = 81
    ANSWER_EVICTED = 82  # The answer left the buffer before the caller had all of it.
    ANSWER_TOO_LARGE = 83
    CANCELLED_AFTER_START = 84
    NO_REPLY = 85  # No balancer or peer replied in time.
    # The forwarder reset an open flow, whose requests may have run.
    TARGET_UNREACHABLE = 86


def label(reason: Reason) -> str:
    """Return the name of a reason in logs, metrics, and documentation."""
    return reason.name.lower()


def from_code(code: int) -> Reason:
    """Return the reason for a code on the wire, `MALFORMED` for an unknown code."""
    try:
        return Reason(code)
    except ValueError:
        return Reason.MALFORMED
