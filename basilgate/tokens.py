"""Placement tokens, by which any balancer routes the packets of a flow."""

import dataclasses
import hashlib
import hmac
import struct

from returns import result

from basilgate import reasons, wire

CLAIMS_LAYOUT = struct.Struct("!BBHIII")
FLOW_ID_LAYOUT = struct.Struct("!Q")
MAC_BYTES = 16


# Not frozen: that triples the time to make one, and each packet makes one.
@dataclasses.dataclass(slots=True)
class Placement:
    """Target that a token assigns to a flow; `expires_s` is Unix time."""

    service: int
    target: int
    domain: int
    expires_s: int


@dataclasses.dataclass(slots=True)
class KeyRing:
    """Token keys by id; `current` signs, all of them verify."""

    keys: dict[int, bytes] = dataclasses.field(default_factory=dict)
    current: int = 0

    def add(self, key_id: int, secret: bytes) -> None:
        """Add a key; the highest id signs new tokens."""
        self.keys[key_id] = secret
        self.current = max(self.keys)

    def retain(self, key_ids: set[int]) -> None:
        """Remove each key that is not in `key_ids`."""
        self.keys = {key: self.keys[key] for key in self.keys if key in key_ids}
        self.current = max(self.keys, default=0)


def mint(ring: KeyRing, placement: Placement, flow: int) -> bytes:
    """Return a token for `flow`, bound to it by a MAC."""
    claims = CLAIMS_LAYOUT.pack(
        ring.current,
        placement.domain,
        0,
        placement.target,
        placement.service,
        placement.expires_s,
    )
    return claims + mac(ring.keys[ring.current], claims, flow)


def mac(secret: bytes, claims: bytes, flow: int) -> bytes:
    """Return the MAC over the claims and the flow id."""
    message = claims + FLOW_ID_LAYOUT.pack(flow)
    return hashlib.blake2b(message, digest_size=MAC_BYTES, key=secret).digest()


def verify(
    ring: KeyRing, token: bytes, flow: int, service: int, now_s: float
) -> result.Result[Placement, reasons.Reason]:
    """Return the placement in a token, or the reason why it does not admit.

    Parameters
    ----------
    now_s : float
        Current Unix time in seconds.
    """
    claims = token[: CLAIMS_LAYOUT.size]
    key_id, domain, _, target, token_service, expires_s = CLAIMS_LAYOUT.unpack(claims)
    secret = ring.keys.get(key_id)
    if secret is None:
        return result.Failure(reasons.Reason.TOKEN_UNKNOWN_KEY)
    if not hmac.compare_digest(mac(secret, claims, flow), token[CLAIMS_LAYOUT.size :]):
        return result.Failure(reasons.Reason.TOKEN_FORGED)
    if token_service != service:
        return result.Failure(reasons.Reason.TOKEN_WRONG_SERVICE)
    if now_s >= expires_s:
        return result.Failure(reasons.Reason.TOKEN_EXPIRED)
    return result.Success(Placement(token_service, target, domain, expires_s))


assert CLAIMS_LAYOUT.size + MAC_BYTES == wire.TOKEN_BYTES
