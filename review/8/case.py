"""Plays changes of a large configuration in quick succession, on slow links."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

KEPT, DROPPED = ("127.198.18.1", 443), ("127.198.18.1", 444)
LINK_MBPS = 10.0
IDLE_ROUTES, MORE_ROUTES = 240, 1400
STORM_S, STORM_GAP_S = 4.0, 0.33
APPLY_S = 5.0  # Bound of CONFIG.
PER_S = 10
BOUNDS = {
    "stable_ms": 5000,
    "ack_ms": 8000,
    "catch_up_s": 6,
    "drain_ms": 5000,
    "config_apply_ms": 5000,
    "max_skew_ms": 15000,
    "recovery_s": 15,
}


def idle_routes(count):
    """Return routes that see no traffic."""
    return {(f"127.198.19.{n % 250}", 1000 + n): "desk" for n in range(count)}


def main():
    """Play the case; return the exit status."""
    with rig_2.Site(FOLDER, **BOUNDS) as site:
        for zone in ("z1", "z1", "z2", "z2"):
            site.add_endpoint("desk", zone, work_s=0.01).start(cold=False)
            site.add_host(zone, LINK_MBPS)
        busy = {KEPT: "desk", DROPPED: "desk"}
        site.configure(7, busy | idle_routes(IDLE_ROUTES))
        clients = [
            rig_2.Clients(site, f"{site.net}.{200 + number}", f"z{number}")
            for number in (1, 2)
        ]
        for host in site.hosts:
            host.start()
        if not site.await_ready():
            return 2
        time.sleep(5.0)
        for found in clients:
            for route in busy:
                threading.Thread(
                    target=site.drive, args=(found, route, PER_S, 40.0), daemon=True
                ).start()
        time.sleep(3.0)
        count = IDLE_ROUTES + MORE_ROUTES
        site.configure(12, busy | idle_routes(count))
        time.sleep(6.0)
        version, last = 12, {KEPT: "desk"} | idle_routes(count)
        if rig_2.is_disturbed():
            began_at = time.monotonic()
            while time.monotonic() < began_at + STORM_S:
                version += 3
                count += 1
                site.configure(version, busy | idle_routes(count))
                time.sleep(STORM_GAP_S)
        site.configure(version + 5, last)
        acked_at = time.monotonic()
        size = len(rig_2.compact(site.store.kinds["config"]["main"]["spec"]))
        site.record.write(f"the last configuration has {size} bytes")
        time.sleep(25.0)
        late = [
            at - acked_at
            for found in clients
            for at, _, how in found.results_of(DROPPED)
            if at > acked_at + APPLY_S and how == "ok"
        ]
        calm = [
            how
            for found in clients
            for at, _, how in found.results
            if at < acked_at - STORM_S - 1.0
        ]
        site.record.write(f"before: {calm.count('ok')} of {len(calm)} served")
        site.record.write(
            f"run by the dropped route later than {APPLY_S} s after its removal was "
            f"acknowledged: {len(late)}, up to {max(late, default=0.0):.1f} s"
        )
        for host in site.hosts:
            log = (site.folder / f"{host.ip}.log").read_text().splitlines()
            words = ("configuration_in_force", "store_lost", "store_regained", "gone")
            for line in log:
                if any(word in line for word in words):
                    site.record.write(f"log {line[:240]}")
        if calm.count("ok") < 0.9 * len(calm):
            return 2
        site.record.write("CONFIG broken" if late else "CONFIG held")
        return int(bool(late))


if __name__ == "__main__":
    rig_2.run(main)
