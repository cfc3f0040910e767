"""Plays entries of another writer whose service is not one of the deployment."""

import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2  # noqa: E402

ROUTE = ("127.198.18.1", 443)
ENDPOINTS, HOSTS = 7, 3
PER_S = 20
RECOVERY_S = 12.0
DOWN_S = 1.4
AGENT_LEAD_MS = 5_000  # Agents start before the endpoint beside them.


def add_agents(site):
    """Write an entry for the monitoring agent beside each endpoint."""
    agents = []
    for endpoint in site.endpoints:
        agent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        agent.bind((endpoint.address[0], 0))
        agents.append(agent)
        host, port = agent.getsockname()
        name = f"m-{endpoint.number:010x}"
        entry = {
            **endpoint.entry(),
            "service": "monitoring",
            "address": f"{host}:{port}",
            "born": endpoint.born - AGENT_LEAD_MS,
        }
        site.store.put("servers", name, entry)
        site.record.write(f"another writer stores {name}, service monitoring")
    return agents


def served_share(clients, since):
    """Return the share of the requests sent since a time that were served."""
    ends = [how for at, _, how in list(clients.results) if at >= since]
    return sum(how == "ok" for how in ends) / max(1, len(ends)), len(ends)


def main():
    """Play the case; return the exit status."""
    with rig_2.Site(FOLDER) as site:
        for _ in range(ENDPOINTS):
            site.add_endpoint("desk", "z1", work_s=0.02)
        for _ in range(HOSTS):
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
        agents = add_agents(site) if rig_2.is_disturbed() else []
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
        for agent in agents:
            agent.close()
        for host in site.hosts:
            log = (site.folder / f"{host.ip}.log").read_text().splitlines()
            for line in [line for line in log if "token_shared" in line][-8:] + log[
                -3:
            ]:
                site.record.write(f"log {line[:300]}")
        if before < 0.25:
            return 2
        broken = after < 0.25
        site.record.write("RECOVER broken" if broken else "RECOVER held")
        return int(broken)


if __name__ == "__main__":
    rig_2.run(main)
