"""An entry of another writer ends too early and is padded with blanks."""

import os
import pathlib
import signal
import time

import harness

from standins import fleetstore

HOSTS = 4
TARGETS = 8
CALLERS = 6
CALM_S = 6.0  # More than the time after which machines are in touch.
FOREIGN_NAME = "inventory-agent"
PADDING_BYTES = 400_000  # `max-value-bytes` is 1,048,576.
PADDED = fleetstore.RawJson(b'{"service":"order-desk"' + b" " * PADDING_BYTES)
WATCHED_S = 40.0
SILENCE_S = 20.0  # Far more than the two missed probes after which routers give up.
GRACE_S = 6.0  # `grace-s` of the settings.
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def processor_s(host: harness.Host) -> float:
    """Return the processor time that the process of a host has used."""
    if host.process is None:
        return 0.0
    fields = pathlib.Path(f"/proc/{host.process.pid}/stat").read_text()
    times = fields.rpartition(")")[2].split()[11:13]
    return sum(map(int, times)) * TICK_S


def watch(deployment: harness.Deployment) -> list[str]:
    """Probe the hosts for a time, and return which did not hand back the processor."""
    began_at = time.monotonic()
    last_ready = dict.fromkeys(deployment.host_ips, began_at)
    longest = dict.fromkeys(deployment.host_ips, 0.0)
    used_s = {host.ip: processor_s(host) for host in deployment.hosts}
    while time.monotonic() < began_at + WATCHED_S:
        for host in deployment.hosts:
            if host.is_ready():
                last_ready[host.ip] = time.monotonic()
            silent_s = time.monotonic() - last_ready[host.ip]
            longest[host.ip] = max(longest[host.ip], silent_s)
        time.sleep(harness.PROBE_INTERVAL_S)
    breaches = []
    for host in deployment.hosts:
        used = processor_s(host) - used_s[host.ip]
        result = (
            f"{host.ip} answered no readiness probe for {longest[host.ip]:.1f} s and "
            f"used {used:.1f} s of processor time in {WATCHED_S:.0f} s, "
            f"exit status {host.exit_status()}"
        )
        deployment.record.write(result)
        if longest[host.ip] > SILENCE_S and host.exit_status() is None:
            breaches.append(f"Fault: does not hand back the processor: {result}")
    return breaches


def case(record: harness.Record, trouble: bool) -> list[str]:
    """Return which hosts hang, and whether any request was served meanwhile."""
    deployment = harness.Deployment(record, HOSTS, TARGETS)
    try:
        deployment.write_configuration(1, [harness.SERVICE_PORT])
        deployment.start()
        deployment.start_callers(CALLERS)
        time.sleep(CALM_S)
        if trouble:
            deployment.store.put("servers", FOREIGN_NAME, PADDED)
            record.write(f"store: accepted {FOREIGN_NAME} of another writer")
        breaches = watch(deployment)
        since = time.monotonic() - SILENCE_S
        served = sum(moment > since for moment in deployment.answered_at)
        record.write(f"{served} requests were served in the last {SILENCE_S:.0f} s")
        if not deployment.answered_at:
            raise harness.CaseError("no request was served at all")
        if not served:
            breaches.append(f"Fault: no request was served for {SILENCE_S:.0f} s")
        for host in deployment.hosts:
            host.send_signal(signal.SIGTERM)
        time.sleep(GRACE_S)
        for host in deployment.hosts:
            record.write(
                f"{host.ip} has exit status {host.exit_status()} "
                f"{GRACE_S:.0f} s after SIGTERM"
            )
    finally:
        deployment.stop()
    return breaches


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, case)
