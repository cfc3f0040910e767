"""Plays an entry of another writer that is a torn copy of the list of endpoints."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

ROUTE = ("127.198.18.1", 443)
ZONES = ("z1", "z2")
ENDPOINTS = 60
PAGE_ITEMS = 50
PER_S = 20
RECOVERY_S = 15.0
DOWN_S = 1.4
BOUNDS = {
    "stable_ms": 5000,
    "ack_ms": 8000,
    "catch_up_s": 6,
    "drain_ms": 5000,
    "config_apply_ms": 5000,
    "max_skew_ms": 15000,
    "recovery_s": 15,
}


def torn_copy(store):
    """Return a copy of the list of endpoints that ends within its last object."""
    names = sorted(store.kinds["servers"])
    objects = [rig_2.encode_object(store.kinds["servers"][name]) for name in names]
    copy = b'{"servers":[' + b",".join(objects)
    return copy[: copy.rfind(b'"address"')]


def served_share(clients, since):
    """Return the share of the requests sent since a time that were served."""
    ends = [how for at, _, how in list(clients.results) if at >= since]
    return sum(how == "ok" for how in ends) / max(1, len(ends)), len(ends)


def main():
    """Play the case; return the exit status."""
    with rig_2.Site(FOLDER, **BOUNDS) as site:
        site.store.page_items = PAGE_ITEMS
        for number in range(ENDPOINTS):
            site.add_endpoint("desk", ZONES[number % 2], work_s=0.02)
        for number in range(4):
            site.add_host(ZONES[number % 2])
        site.configure(7, {ROUTE: "desk"})
        for endpoint in site.endpoints:
            endpoint.start(cold=False)
        clients = rig_2.Clients(site, f"{site.net}.200", "z1")
        for host in site.hosts:
            host.start()
        if not site.await_ready():
            site.record.write("the hosts did not become ready at first")
            return 2
        time.sleep(3.0)
        if rig_2.is_disturbed():
            odd = torn_copy(site.store)
            site.store.put("servers", "copy-1", odd)
            site.record.write(f"another writer stores copy-1, {len(odd)} bytes")
        time.sleep(3.0)
        before_at = time.monotonic()
        site.drive(clients, ROUTE, PER_S, 5.0)
        time.sleep(2.5)
        before, asked_before = served_share(clients, before_at)
        site.record.write(f"before the fault {before:.3f} of {asked_before} served")
        for host in site.hosts:
            host.kill()
        time.sleep(DOWN_S)
        for host in site.hosts:
            host.start()
        back_at = time.monotonic()
        time.sleep(RECOVERY_S)
        after_at = time.monotonic()
        site.drive(clients, ROUTE, PER_S, 8.0)
        time.sleep(2.5)
        after, asked_after = served_share(clients, after_at)
        site.record.write(
            f"later than {after_at - back_at:.1f} s after the hosts are back "
            f"{after:.3f} of {asked_after} served"
        )
        site.record.write(f"calls of the store: {dict(site.store.calls)}")
        for host in site.hosts:
            log = (site.folder / f"{host.ip}.log").read_text().splitlines()
            for line in log[-6:]:
                site.record.write(f"log {line[:300]}")
        if before < 0.25:
            return 2
        broken = after < 0.25
        site.record.write("RECOVER broken" if broken else "RECOVER held")
        return int(broken)


if __name__ == "__main__":
    rig_2.run(main)
