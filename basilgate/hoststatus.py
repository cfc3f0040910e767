"""Answers of a balancer's admin interface: status, health, and explanations."""

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

# Peers regard a host as dead after this silence, which a lag as long would cause.
LOOP_LAG_LIMIT_S = membership.DEAD_AFTER_INTERVAL_S


class HostStatus:
    """Answers the queries of the admin interface from the state of this host.

    Parameters
    ----------
    observe : callable
        Returns the state that queries read, with the configuration in force.
    sync : configsync.ConfigSync
        Source of the time since which the platform has not answered.
    owned_targets : ownedtargets.OwnedTargets
        Targets that this host owns, for their flows, requests, and health.
    ring : tokens.KeyRing
        Keys that sign tokens; a host without keys is not ready to serve.
    loop_clock : gauges.LoopClock
        Source of the event loop's lag, which decides about health.
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
        """Return why a target gets or does not get new flows.

        The query parameters are ``service`` and ``target``, both names.
        """
        return explanations.explain(
            self.observe(),
            parameters.get("service", ""),
            parameters.get("target", ""),
            clock.utc(),
        )

    def status(self, parameters: dict[str, str]) -> dict[str, typing.Any]:
        """Return the state of this host, its targets, and its failure domain.

        The query parameter ``objects`` lists, separated by commas, names of
        objects whose versions in force are returned.
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
        """Return whether there are services, and keys to sign their tokens."""
        return bool(config.services and self.ring.keys)

    def health(self) -> dict[str, typing.Any]:
        """Return whether this host can serve, and the result of each check.

        ``loop_lag_s`` is the longest recent lag of the event loop in seconds.
        """
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
        """Set the gauges to the present state of this host."""
        observer = self.observe()
        gauges.refresh(
            observer.members, self.owned_targets, observer.config, self.loop_clock
        )
