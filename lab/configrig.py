"""Stand-in platform and hosts that follow it, in an event loop beside the caller."""

import collections.abc
import concurrent.futures
import contextlib
import typing

import anyio
import anyio.from_thread
from returns import result

from basilgate import platformapi, storedobjects
from lab import confighosts
from standins import platform as platform_standin

# Time limits of hosts in a rig, so that stalls are noticed soon.
SLOW_ANSWER_S = 0.5
SETTLE_PAUSE_S = 0.01
# Only guards against hanging.
WAIT_LIMIT_S = 30.0


class Rig:
    """A platform and hosts; use `running` to start and end them.

    Parameters
    ----------
    portal : anyio.from_thread.BlockingPortal
        Event loop of the platform and the hosts.
    """

    def __init__(self, portal: anyio.from_thread.BlockingPortal) -> None:
        self.portal = portal
        self.platform = platform_standin.Platform()
        self.hosts: dict[str, confighosts.ConfigHost] = {}
        self.running: dict[str, concurrent.futures.Future[None]] = {}

    def start_host(self, name: str) -> confighosts.ConfigHost:
        """Start a host, again if it runs; its replica is empty."""
        self.stop_host(name)
        client = self.portal.call(confighosts.connect, self.platform)
        host = confighosts.ConfigHost(name, "suceava", client)
        self.running[name], _ = self.portal.start_task(host.run)
        self.hosts[name] = host
        return host

    def stop_host(self, name: str) -> None:
        """End a host if it runs."""
        if name in self.running:
            self.running.pop(name).cancel()

    def start_gossip(self) -> None:
        """Let hosts learn each other's digests, also those started later."""

        async def exchange() -> None:
            while True:
                with anyio.move_on_after(confighosts.GOSSIP_INTERVAL_S):
                    await confighosts.gossip(list(self.hosts.values()))

        self.running["gossip"] = self.portal.start_task_soon(exchange)

    def cut(self, name: str) -> None:
        """Make every call of one host to the platform fail."""

        async def refuse(
            method: str, path: str, timeout_s: float | None, options: typing.Any
        ) -> typing.Any:
            del method, path, timeout_s, options
            kind = platformapi.ProblemKind.UNAVAILABLE
            return result.Failure(platformapi.Problem(kind))

        self.hosts[name].client.exchange = refuse  # type: ignore[method-assign]

    def write(self, name: str, value: dict[str, typing.Any] | None) -> None:
        """Write an object on the platform, None to remove it."""

        async def put() -> None:
            self.platform.store.write(name, value)

        self.portal.call(put)

    def wait_until(self, check: collections.abc.Callable[[], bool]) -> None:
        """Wait until a check holds."""

        async def wait() -> None:
            with anyio.fail_after(WAIT_LIMIT_S):
                while not check():
                    await anyio.sleep(0.02)

        self.portal.call(wait)

    def agrees(self) -> bool:
        """Tell whether all hosts have exactly the platform's objects in force."""
        newest = {
            name: found.version
            for name, found in self.platform.store.objects.items()
            if found.value is not None and not storedobjects.is_part(name)
        }
        return all(h.store.live_versions() == newest for h in self.hosts.values())

    def settle(self) -> None:
        """Wait until all hosts agree with the platform; none may step back."""
        self.wait_until(self.agrees)
        for host in self.hosts.values():
            assert host.reverts == [], host.reverts


@contextlib.contextmanager
def running() -> collections.abc.Iterator[Rig]:
    """Run a rig whose clients notice stalls soon."""
    former = platformapi.SLOW_ANSWER_S, platformapi.SETTLE_PAUSE_S
    platformapi.SLOW_ANSWER_S, platformapi.SETTLE_PAUSE_S = (
        SLOW_ANSWER_S,
        SETTLE_PAUSE_S,
    )
    with anyio.from_thread.start_blocking_portal() as portal:
        rig = Rig(portal)
        try:
            yield rig
        finally:
            platformapi.SLOW_ANSWER_S, platformapi.SETTLE_PAUSE_S = former
            for name in list(rig.running):
                rig.stop_host(name)
