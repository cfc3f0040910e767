"""Placement tokens: signed records of the target of a flow.

A caller sends the token with each frame, so that any balancer can route the frame
without state about the flow.
"""

import dataclasses
import hashlib
import hmac
import struct

from returns import result

from basilgate import reasons, wire

# Key id, failure domain, reserved, target, service, and expiry in Unix seconds.
CLAIMS_LAYOUT = struct.Struct("!BBHIII")
FLOW_ID_LAYOUT = struct.Struct("!Q")
MAC_BYTES = 16


# Not frozen: freezing triples the time to create an object, and verifying the token
# of each frame creates one.
@dataclasses.dataclass(slots=True)
class Placement:
    """Ids of the target of a flow, its service and domain; `expires_s` is Unix time."""

    service: int
    target: int
    domain: int
    expires_s: int


@dataclasses.dataclass(slots=True)
class KeyRing:
    """Token keys by id: key `current` signs, each key verifies.

    `current` is 0 without keys.
    """

    keys: dict[int, bytes] = dataclasses.field(default_factory=dict)
    current: int = 0

    def add(self, key_id: int, secret: bytes) -> None:
        """Add a key and let the key with the highest id sign."""
        self.keys[key_id] = secret
        self.current = max(self.keys)

    def retain(self, key_ids: set[int]) -> None:
        """Remove the keys not in `key_ids` and let the highest remaining id sign."""
        self.keys = {key: self.keys[key] for key in self.keys if key in key_ids}
        self.current = max(self.keys, default=0)


def mint(ring: KeyRing, placement: Placement, flow: int) -> bytes:
    """Return a token with a placement and a MAC that binds it to a flow."""
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
    """Return the MAC of encoded claims and a flow id under a key."""
    message = claims + FLOW_ID_LAYOUT.pack(flow)
    return hashlib.blake2b(message, digest_size=MAC_BYTES, key=secret).digest()


def verify(
    ring: KeyRing, token: bytes, flow: int, service: int, now_s: float
) -> result.Result[Placement, reasons.Reason]:
    """Return the placement in a token, or the reason why the token is invalid.

    Parameters
    ----------
    ring : KeyRing
        Keys that may have signed the token.
    token : bytes
        The token, `wire.TOKEN_BYTES` long.
    flow, service : int
        Ids that the token must be for.
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
