"""What a balancer tells of itself: status, health, and explanations."""

import collections.abc
import typing

import anyio

from basilgate import (
    clock,
    configsync,
    effectiveconfig,
    explanations,
    gauges,
    membership,
    ownedtargets,
    tokens,
)

# Peers hold a host that is silent for longer for dead.
LOOP_LAG_LIMIT_S = membership.DEAD_AFTER_INTERVAL_S


class HostStatus:
    """Answers the queries of the admin interface.

    Parameters
    ----------
    observe : callable
        Returns what queries look at, with the configuration in force.
    sync : configsync.ConfigSync
        Knows whether the platform answers.
    own : ownedtargets.OwnedTargets
        Homes of this host.
    ring : tokens.KeyRing
        Keys that sign tokens.
    loop : gauges.LoopClock
        Measures the lag of the event loop.
    """

    def __init__(
        self,
        observe: collections.abc.Callable[[], explanations.Observer],
        sync: configsync.ConfigSync,
        owned_targets: ownedtargets.OwnedTargets,
        ring: tokens.KeyRing,
        loop_clock: gauges.LoopClock,
    ) -> None:
        self.observe = observe
        self.sync = sync
        self.owned_targets = owned_targets
        self.ring = ring
        self.loop_clock = loop_clock

    def explain(self, parameters: dict[str, str]) -> dict[str, typing.Any]:
        """Return why a target gets or does not get new flows."""
        return explanations.explain(
            self.observe(),
            parameters.get("service", ""),
            parameters.get("target", ""),
            clock.utc(),
        )

    def status(self, parameters: dict[str, str]) -> dict[str, typing.Any]:
        """Return what this host knows of itself and its domain.

        ``objects`` is a comma-separated list of objects whose versions in force
        are wanted.
        """
        wanted = [name for name in parameters.get("objects", "").split(",") if name]
        observer = self.observe()
        members, store = observer.members, observer.store
        view = members.view
        return {
            "host": members.me.host,
            "incarnation": members.me.incarnation,
            "failure_domain": members.domain,
            "epoch": members.epoch,
            "member": members.is_member(),
            "leaving": members.leaving,
            "revision": store.revision,
            "digest": store.digest,
            "configuration": explanations.configuration(observer, wanted),
            "platform_lost_at": self.sync.platform_lost_at,
            "targets": explanations.notable_targets(observer),
            "directory": explanations.directory(store),
            "members": [m.host for m in view.members] if view is not None else [],
            "peers": {
                name: {
                    "revision": peer.config_revision,
                    "digest": peer.config_digest,
                    "alive": members.is_alive(name),
                }
                for name, peer in members.peers.items()
            },
            "configured": self.is_configured(observer.config),
            "homes_waiting": sum(
                bool(owner.awaiting_from or not owner.has_authority())
                for owner in self.owned_targets.owners.values()
            ),
            "homes": {
                owner.target.name: {
                    "flows": len(owner.flows),
                    "running": len(owner.running),
                    "queued": len(owner.queue),
                    "healthy": owner.healthy,
                    "health": owner.monitor.explain(anyio.current_time()),
                }
                for owner in self.owned_targets.owners.values()
            },
        }

    def is_configured(self, config: effectiveconfig.EffectiveConfig) -> bool:
        """Tell whether there are services, and keys for their tokens."""
        return bool(config.services and self.ring.keys)

    def health(self) -> dict[str, typing.Any]:
        """Return whether this host serves, and what speaks against it."""
        observer = self.observe()
        lag_s = self.loop_clock.lag_s()
        checks = {
            "member": observer.members.is_member(),
            "configured": self.is_configured(observer.config),
            "loop_alive": lag_s < LOOP_LAG_LIMIT_S,
            "staying": not observer.members.leaving,
        }
        return {"healthy": all(checks.values()), **checks, "loop_lag_s": lag_s}

    def refresh_metrics(self) -> None:
        """Bring the gauges up to date."""
        observer = self.observe()
        gauges.refresh(
            observer.members, self.owned_targets, observer.config, self.loop_clock
        )
