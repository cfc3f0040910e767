"""Configuration part of balancers in one process, without sockets to targets.

Tests and benchmarks use it where a whole cluster is not needed. Digests, which
balancers learn from heartbeats and pings, are exchanged by `gossip`.
"""

import collections.abc
import typing

import anyio
import anyio.abc
import anyio.streams.buffered
import httpx

from basilgate import (
    clock,
    configsync,
    controlmessages,
    effectiveconfig,
    membership,
    platformapi,
    queries,
    replica,
    storedobjects,
)
from standins import platform as platform_standin

CODEC = controlmessages.Codec(bytes(32))
GOSSIP_INTERVAL_S = 0.1
FOREVER = float("inf")


def connect(platform: platform_standin.Platform) -> platformapi.PlatformClient:
    """Return a client that calls the stand-in in this process."""
    client = platformapi.PlatformClient("http://platform", timeout_s=0.5)
    transport = httpx.ASGITransport(app=platform.application())
    client.http = httpx.AsyncClient(transport=transport, base_url="http://platform")
    return client


class ConfigHost:
    """One host that follows the platform and its peers.

    Parameters
    ----------
    name : str
        Name of the host.
    domain : str
        Failure domain of the host.
    client : platformapi.PlatformClient
        The platform.
    wait_s : float
        Waiting time of one watch in seconds.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        client: platformapi.PlatformClient,
        wait_s: float = 0.5,
    ) -> None:
        self.store = replica.Replica()
        self.client = client
        # Versions that stepped back, by object; stays empty.
        self.reverts: list[str] = []
        self.seen: dict[str, int] = {}
        self.wait_s = wait_s
        self.domain = domain
        self.name = name
        self.store.subscribe_batches(self.check)
        self.address = ("", 0)
        self.sync: configsync.ConfigSync
        self.members: membership.Membership

    def check(self, applied: list[storedobjects.StoredObject]) -> None:
        """Note objects whose version in force is lower than before."""
        del applied
        for name, version in self.store.live_versions().items():
            if version < self.seen.get(name, 0):
                self.reverts.append(f"{name}: {self.seen[name]} -> {version}")
            self.seen[name] = version

    async def run(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Follow the platform and the peers until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = ("127.0.0.1", port)
        address = f"127.0.0.1:{port}"
        me = storedobjects.Member(
            host=self.name, incarnation=1, callers=address, peers=address, admin=address
        )
        self.members = membership.Membership(
            me, self.domain, self.store, self.client, CODEC, send_nothing
        )
        self.sync = configsync.ConfigSync(
            self.store, self.client, self.members, CODEC, (), self.wait_s
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.answer)
            tasks.start_soon(self.sync.run)
            task_status.started()

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one sync request of a peer."""
        async with stream:
            await controlmessages.answer_call(CODEC, stream, self.reply_to)

    async def reply_to(self, field: str, message: typing.Any) -> tuple[str, typing.Any]:
        """Return the objects that a peer does not have."""
        del field
        return "sync_reply", configsync.sync_reply(self.store, message)

    def effective(self) -> effectiveconfig.EffectiveConfig:
        """Return the configuration in force."""
        return effectiveconfig.from_replica(self.store, clock.utc())


async def send_nothing(datagram: bytes, address: tuple[str, int]) -> None:
    """Drop a datagram: these hosts exchange digests by `gossip`."""
    del datagram, address


async def gossip(hosts: collections.abc.Sequence[ConfigHost]) -> None:
    """Tell each host the digests of the others until cancelled."""
    while True:
        for host in hosts:
            for other in hosts:
                if other is not host and other.domain == host.domain:
                    note_peer(host, other)
                elif other is not host:
                    host.sync.on_peer_digest(
                        other.address, other.store.revision, other.store.digest
                    )
        await anyio.sleep(GOSSIP_INTERVAL_S)


def note_peer(host: ConfigHost, other: ConfigHost) -> None:
    """Record a peer's digest as a heartbeat would."""
    known = host.members.peers.setdefault(
        other.name, membership.Peer(other.members.me, FOREVER, FOREVER)
    )
    known.config_digest = other.store.digest
    known.config_revision = other.store.revision


def admin_status(host: ConfigHost, wanted: str) -> dict[str, typing.Any]:
    """Return the part of `/status` that acknowledgements use."""
    live = host.store.live_versions()
    names = [name for name in wanted.split(",") if name]
    return {
        "host": host.name,
        "revision": host.store.revision,
        "digest": host.store.digest,
        "configuration": {"objects": {name: live.get(name, 0) for name in names}},
        "peers": {
            name: {
                "revision": peer.config_revision,
                "digest": peer.config_digest,
                "alive": True,
            }
            for name, peer in host.members.peers.items()
        },
    }


def session(
    client: platformapi.PlatformClient,
    hosts: collections.abc.Sequence[ConfigHost] = (),
    silent: collections.abc.Container[str] = (),
) -> queries.Session:
    """Return a session whose admin calls are answered by hosts in this process.

    Parameters
    ----------
    silent : container of str
        Names of hosts that do not answer.
    """
    by_address = {host.members.me.admin: host for host in hosts}

    def serve(request: httpx.Request) -> httpx.Response:
        host = by_address.get(f"{request.url.host}:{request.url.port}")
        if host is None or host.name in silent:
            raise httpx.ConnectError("no answer")
        wanted = request.url.params.get("objects", "")
        return httpx.Response(200, json=admin_status(host, wanted))

    http = httpx.AsyncClient(transport=httpx.MockTransport(serve))
    return queries.Session(client, http)
