"""Plays an entry of another writer that is a torn copy of the list of endpoints."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

ROUTE = ("127.198.18.1", 443)
MAX_VALUE_BYTES = 1_048_576
PER_S = 20
RECOVERY_S = 12.0
DOWN_S = 1.4


def torn_copy(store):
    """Return copies of the list of endpoints, cut at the largest size of a value."""
    page = store.list_page("servers", "", False)
    names = sorted(store.kinds["servers"])
    copies = b",".join([page] * (MAX_VALUE_BYTES // len(page) + 1))
    # The last copy ends within the content of its second object.
    second = copies.rfind(names[1].encode(), 0, MAX_VALUE_BYTES - 1_000)
    end = copies.find(b'"address"', second)
    return b'{"copies":[' + copies[:end]


def served_share(clients, since):
    """Return the share of the requests sent since a time that were served."""
    ends = [how for at, _, how in list(clients.results) if at >= since]
    return sum(how == "ok" for how in ends) / max(1, len(ends)), len(ends)


def main():
    """Play the case; return the exit status."""
    with rig_2.Site(FOLDER) as site:
        for _ in range(2):
            site.add_endpoint("desk", "z1", work_s=0.02)
        for _ in range(2):
            site.add_host("z1")
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
            site.store.put("servers", "backup-1", odd)
            site.record.write(f"another writer stores backup-1, {len(odd)} bytes")
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
    rig_2.finish(main())
