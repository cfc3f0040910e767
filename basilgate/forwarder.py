"""Program `basilgate-forwarder`: forwards callers' packets from a host to targets."""

import collections.abc
import os
import random
import select
import signal
import socket
import sys
import threading
import time

from basilgate import (
    clock,
    connectionprobes,
    counters,
    documentcache,
    errorguard,
    eventlog,
    fleetmodel,
    fleetview,
    flowtable,
    forwarderstart,
    forwarding,
    heldpackets,
    overriderestore,
    peerreports,
    peertable,
    statuspages,
    storewatch,
    suspicion,
    targetchoice,
    tcplistener,
)
from basilgate.policy import coldtargets, domainchoice
from basilgate.relay import documentfetch, relayclient, relayserver
from platformedge import documents, store

SETTINGS_VARIABLE = "BASILGATE_CONFIG"
# Larger than any valid packet, so that longer datagrams are recognized as malformed.
MAX_DATAGRAM_BYTES = 2_048
# Interval at which the packet loop checks whether to stop while no packet arrives.
# Callers repeat an opening packet after 0.2 s, so a pause has to be noticed that is
# not much longer.
RECEIVE_TIMEOUT_S = 0.2
# Time between two packets, or checks, from which the process counts as paused.
PACKET_PAUSE_S = 0.3
# Time within which a host has read the packets that waited through a pause.
BACKLOG_TIMEOUT_S = 1.0
# The same until the host is ready; callers wait for packets that are held meanwhile.
START_TIMEOUT_S = 0.02
# Routers request readiness twice a second and stop sending after two failures; the rest
# of the time is for packets in transit.
MAX_DRAIN_S = 2.0
# After that, packets that were received are forwarded for at most this time. Together
# it is half of the usual 6 s until the platform kills the process.
MAX_FLUSH_S = 1.0
READY_PATH = "/v1/readiness"
METRICS_PATH = "/metrics"
METRICS_PORT = 9_464  # Common port of Prometheus exporters.
# Shorter than `flowtable.SWEEP_INTERVAL_S` and `peerreports.PAUSE_LIMIT_S`, both 1 s.
MAINTENANCE_INTERVAL_S = 0.5
EXIT_USAGE = 2  # The settings are missing or invalid.

Loop = collections.abc.Callable[[], None]
Handle = collections.abc.Callable[[bytes], None]


class ForwarderProcess:
    """Connects the parts of the forwarder and runs them in threads.

    The main thread forwards packets. The others watch the store, exchange reports with
    peers, serve status pages, and do maintenance. `lock` guards the state that they
    share. An unexpected error ends the handling of one message, one connection, or one
    turn of a loop; the process goes on.

    Parameters
    ----------
    settings : fleetmodel.HostSettings
        Validated settings of this host.
    settings_path : str
        Path of the settings file, which is read again when it changes.
    callers_socket : socket.socket, optional
        Socket that is bound to the address at which callers' packets arrive.
    domain_price_s : float, optional
        Price of leaving the failure domain in seconds, as in
        `domainchoice.DomainChoice`. Without it the default preference applies.
    """

    def __init__(
        self,
        settings: fleetmodel.HostSettings,
        settings_path: str,
        callers_socket: socket.socket | None = None,
        domain_price_s: float | None = None,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_written_ns = settings_mtime_ns(settings_path)
        self.log = eventlog.EventLog(sys.stdout.fileno(), settings.name)
        self.counts = counters.Counters()
        self.guard = errorguard.ErrorGuard(self.log, self.counts)
        self.view = fleetview.FleetView(
            self.log,
            self.counts,
            settings.flow_age_limit_s,
            settings.has_evacuations,
        )
        self.flows = flowtable.FlowTable()
        self.suspicions = suspicion.Suspicions(self.log, self.counts)
        self.prober = connectionprobes.ConnectionProber(self.log, self.counts)
        self.prober.on_result = self.handle_probe_result
        self.peers = peertable.PeerTable(settings, self.log, self.counts)
        # Guards changes of the view, flows, suspicions, and peers by several threads.
        self.lock = threading.Lock()
        # Whether SIGTERM has arrived; `stopped` is set once the packet loop is to end.
        self.stopping = False
        self.stopped = threading.Event()
        self.reload_requested = False
        self.was_ready = False
        self.is_bound = callers_socket is not None
        self.socket = callers_socket or forwarderstart.open_callers_socket()
        self.socket.settimeout(RECEIVE_TIMEOUT_S)
        chooser = targetchoice.TargetChooser(
            self.view,
            self.flows,
            self.peers,
            self.suspicions,
            settings.domain,
            random.Random(),
            coldtargets.ColdTargetLimiter(
                self.view,
                self.peers,
                self.suspicions,
                self.log,
                self.counts,
                clock.steady_s(),
                self.view.evacuations.ended_at,
            ),
        )
        if domain_price_s is not None:
            chooser.domain_choice = domainchoice.DomainChoice(
                settings.domain,
                domain_price_s,
                self.flows,
                self.log,
                self.counts,
            )
        self.forwarder = forwarding.Forwarder(
            self.view,
            self.flows,
            chooser,
            self.suspicions,
            self.prober,
            self.send,
            self.has_unread_packets,
            settings.listen[1],
            self.log,
            self.counts,
        )
        view_updater = storewatch.ViewUpdater(self.view, self.log, self.counts)
        appliers = {
            documents.CONFIG_KIND: view_updater.apply_configuration,
            documents.TARGETS_KIND: view_updater.apply_targets,
            documents.OVERRIDES_KIND: view_updater.apply_overrides,
        }
        if settings.has_evacuations:
            appliers[documents.EVACUATIONS_KIND] = view_updater.apply_evacuations
        self.cache = documentcache.DocumentCache(appliers, self.lock)
        self.relay_client = relayclient.RelayClient(
            self.peers, self.cache, self.log, self.counts
        )
        self.relay_client.store_fails = self.store_fails
        self.watchers: list[storewatch.KindWatcher] = []
        for kind in self.cache.kinds:
            watcher = storewatch.KindWatcher(
                kind,
                store.Connection(settings.store),
                self.cache,
                self.relay_client,
                self.log,
                self.counts,
                self.watchers[0] if self.watchers else None,
            )
            self.watchers.append(watcher)
        for watcher in self.watchers:
            watcher.siblings = [found for found in self.watchers if found != watcher]
        self.reports = peerreports.ReportExchange(
            self.peers,
            self.view,
            self.flows,
            self.suspicions,
            chooser,
            self.forwarder,
            self.cache,
            self.watchers,
            self.relay_client,
            documentfetch.DocumentFetcher(
                self.peers, self.relay_client.receiver, self.log
            ),
            self.lock,
            self.log,
        )
        self.restorer = overriderestore.OverrideRestorer(
            store.Connection(settings.store, reused=False),
            self.cache,
            self.peers,
            self.reports.watches_store,
            self.log,
            self.counts,
        )

    def store_fails(self) -> bool:
        """Return whether the last call to the store failed for any kind of document."""
        return any(watcher.failures > 0 for watcher in self.watchers)

    def send(self, datagram: bytes, address: fleetmodel.Address) -> None:
        """Send a datagram; drop it with a log line if the socket reports an error."""
        try:
            self.socket.sendto(datagram, address)
        except OSError as error:
            self.counts.add("dropped_packets_total", reason="send_failed")
            self.log.write(
                "send_failed", address=f"{address[0]}:{address[1]}", error=str(error)
            )

    def has_unread_packets(self) -> bool:
        """Return whether callers' packets wait in the socket's buffer."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def receive(self) -> bytes | None:
        """Wait for a packet; return None if none came in time or the call failed."""
        try:
            return self.socket.recv(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return None
        except OSError as error:
            self.log.write("receive_failed", error=str(error))
            return None

    def hold_packets(self) -> None:
        """Hold packets until the view is ready or `stopped` is set, then forward them.

        Until then it is not known where packets are to go.
        """
        held = heldpackets.HeldPackets()
        self.socket.settimeout(START_TIMEOUT_S)
        while not self.view.ready and not self.stopped.is_set():
            datagram = self.receive()
            if datagram is not None:
                held.add(datagram, clock.steady_s())
        datagrams = held.take(clock.steady_s())
        self.log.write("held_packets_forwarded", packets=len(datagrams))
        for datagram in datagrams:
            self.forward(datagram, self.forwarder.handle_held)
        self.socket.settimeout(RECEIVE_TIMEOUT_S)

    def forward_packets(self) -> None:
        """Receive and forward packets until `stopped` is set, then those received."""
        received_at = clock.steady_s()
        late_until = 0.0
        while not self.stopped.is_set():
            datagram = self.receive()
            previous_at, received_at = received_at, clock.steady_s()
            if received_at - previous_at > PACKET_PAUSE_S:
                # Packets may have waited in the socket's buffer for that long.
                late_until = received_at + BACKLOG_TIMEOUT_S
                with self.lock:
                    self.forwarder.forget_evidence()
            self.forwarder.is_late = received_at < late_until
            if datagram is not None:
                self.forward(datagram)
            if late_until and not self.has_unread_packets():
                late_until = 0.0
        self.forward_queued_packets()

    def forward(self, datagram: bytes, handle: Handle | None = None) -> None:
        """Forward one packet; an unexpected error drops it alone.

        `handle` is the method of the forwarder to use instead of `handle`.
        """
        try:
            with self.lock:
                (handle or self.forwarder.handle)(datagram)
        except Exception as error:
            self.counts.add("dropped_packets_total", reason="unexpected_error")
            self.guard.record("packet", error)

    def forward_queued_packets(self) -> None:
        """Forward the packets that wait in the socket's buffer, before the end."""
        deadline = clock.steady_s() + MAX_FLUSH_S
        self.socket.settimeout(0)
        while clock.steady_s() < deadline:
            try:
                datagram = self.socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                # Also raised if no packet is left.
                return
            self.forward(datagram)

    def handle_probe_result(
        self,
        target: fleetmodel.Target,
        probe_result: connectionprobes.ProbeResult,
        started_at: float,
    ) -> None:
        """Pass the result of a connection probe to the forwarder, under the lock.

        `started_at` is the monotonic time at which the probe began, in seconds.
        """
        with self.lock:
            self.forwarder.handle_probe_result(target, probe_result, started_at)

    def readiness_page(self) -> statuspages.Response:
        """Return the readiness page, by which routers decide whether to use this host.

        Logs each change of readiness.
        """
        ready = self.view.ready and not self.stopping and not self.reports.isolated
        if ready != self.was_ready:
            self.was_ready = ready
            self.log.write(
                "readiness_changed",
                ready=ready,
                stopping=self.stopping,
                stranded=self.reports.isolated,
            )
        return (200 if ready else 503), "text/plain", b"ready\n" if ready else b"no\n"

    def metrics_page(self) -> statuspages.Response:
        """Return the metrics page, with gauges that are set when it is requested."""
        listed_count, removed_count = len(self.view.entries), len(self.view.removed)
        self.counts.set_gauge("targets", listed_count, state="listed")
        self.counts.set_gauge("targets", removed_count, state="departed")
        self.counts.set_gauge("flows", len(self.flows.flows))
        self.counts.set_gauge("store_era", self.cache.era)
        answer_age_s = clock.steady_s() - self.watchers[0].answered_at
        self.counts.set_gauge("store_answer_age_seconds", answer_age_s)
        self.counts.set_gauge("log_lines_omitted_total", self.log.omitted_total)
        body = self.counts.exposition().encode()
        return 200, "text/plain; version=0.0.4", body

    def maintain(self) -> None:
        """Do periodic work until the process ends.

        After a pause of the process or the host, the store is checked for missed
        changes. The settings file is read again when it has changed or on SIGHUP.
        Evacuations that the store has lost for some time end. Idle flows are removed.
        """
        previous_boot_s, previous_steady_s = boot_clock_s(), clock.steady_s()
        while True:
            time.sleep(MAINTENANCE_INTERVAL_S)
            now = clock.steady_s()
            paused_s = (
                max(boot_clock_s() - previous_boot_s, now - previous_steady_s)
                - MAINTENANCE_INTERVAL_S
            )
            previous_boot_s, previous_steady_s = boot_clock_s(), now
            if paused_s > peerreports.PAUSE_LIMIT_S:
                self.log.write("pause_detected", seconds=paused_s)
                for watcher in self.watchers:
                    watcher.check_now()
            written_ns = settings_mtime_ns(self.settings_path)
            if self.reload_requested or written_ns != self.settings_written_ns:
                self.reload_requested = False
                self.settings_written_ns = written_ns
                self.reload()
            if documents.EVACUATIONS_KIND in self.cache.kinds:
                for domain in self.cache.end_holds(documents.EVACUATIONS_KIND, now):
                    self.log.write("evacuation_lost", domain=domain)
            configuration = self.view.configuration
            if configuration is not None:
                with self.lock:
                    self.flows.sweep(now, configuration.idle_timeout_s)

    def handle_signal(self, number: int, frame: object) -> None:
        """Request a reload on SIGHUP, and start to stop on the first SIGTERM."""
        del frame
        if number == signal.SIGHUP:
            self.reload_requested = True
        elif not self.stopping:
            self.stopping = self.reports.stopping = True
            threading.Thread(target=self.stop, daemon=True).start()

    def stop(self) -> None:
        """Wait until routers no longer send packets here, then end the packet loop."""
        drain_s = min(MAX_DRAIN_S, self.settings.grace_s / 2)
        self.log.write("stopping", drain_s=drain_s)
        time.sleep(drain_s)
        self.stopped.set()

    def reload(self) -> None:
        """Read the settings again, and keep the old ones if the file is invalid."""
        loaded = read_settings(self.settings_path)
        if isinstance(loaded, str):
            self.log.write("settings_refused", problem=loaded)
            return
        previous, self.settings = self.settings, loaded
        # The sockets keep their addresses; changed seeds and bounds take effect.
        self.peers.settings = loaded
        self.log.write("settings_reloaded", changed=loaded != previous)
        if loaded.store != previous.store:
            self.log.write(
                "store_address_changed", address=f"{loaded.store[0]}:{loaded.store[1]}"
            )
            self.restorer.connection.address = loaded.store
            for watcher in self.watchers:
                watcher.connection.address = loaded.store
                watcher.check_now()

    def run(self) -> None:
        """Start all threads and forward packets until SIGTERM.

        Raises
        ------
        OSError
            If an address cannot be bound, other than that of the metrics page.
        """
        threading.excepthook = self.guard.record_thread_failure
        self.log.write("started", domain=self.settings.domain, pid=os.getpid())
        signal.signal(signal.SIGTERM, self.handle_signal)
        signal.signal(signal.SIGHUP, self.handle_signal)
        if not self.is_bound:
            self.socket.bind(self.settings.listen)
        loops: dict[str, Loop] = {
            f"watch_{watcher.kind}": watcher.run for watcher in self.watchers
        }
        loops["maintenance"] = self.maintain
        loops["relay"] = self.relay_client.run
        loops["restore_overrides"] = self.restorer.run
        loops["reports_in"] = self.reports.receive_reports
        loops["reports_out"] = self.reports.send_reports
        for listener in self.open_listeners():
            loops[f"listen_{listener.name}"] = listener.run
        for activity, loop in loops.items():
            threading.Thread(
                target=self.guard.run_loop, args=(activity, loop), daemon=True
            ).start()
        self.hold_packets()
        self.forward_packets()
        self.log.write("stopped", forwarded=self.counts.total("packets_total"))

    def open_listeners(self) -> list[tcplistener.Listener]:
        """Return the listeners for readiness, relayed documents, and metrics.

        Raises
        ------
        OSError
            If an address cannot be bound, other than that of the metrics page.
        """
        settings = self.settings
        relay_server = relayserver.RelayServer(
            self.cache, self.reports.watches_store, self.log, self.counts
        )
        readiness = statuspages.PageServer(READY_PATH, self.readiness_page)
        peer_address = (settings.own_ip, self.peers.port)
        listeners = [
            tcplistener.Listener(
                settings.readiness, "readiness", readiness.serve, self.log
            ),
            tcplistener.Listener(peer_address, "relay", relay_server.serve, self.log),
        ]
        metrics_server = statuspages.PageServer(METRICS_PATH, self.metrics_page)
        metrics_address = (settings.own_ip, METRICS_PORT)
        try:
            listeners.append(
                tcplistener.Listener(
                    metrics_address, "metrics", metrics_server.serve, self.log
                )
            )
        except OSError as error:
            # Another program of the deployment may use the port. Forwarding does not
            # need the metrics page.
            self.log.write("metrics_unavailable", error=str(error))
        return listeners


def settings_mtime_ns(path: str) -> int:
    """Return the modification time of the settings file in ns, 0 if it has none."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file is being replaced; the next call finds the new one.
        return 0


def boot_clock_s() -> float:
    """Return the time since the host booted in seconds, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_settings(path: str) -> fleetmodel.HostSettings | str:
    """Return the settings in a file, or one line that describes the problem."""
    try:
        with open(path, encoding="utf-8") as file:
            return documents.decode_settings(file.read())
    except OSError as error:
        return f"cannot read settings {path!r}: {error.strerror}"
    except UnicodeDecodeError:
        return f"cannot read settings {path!r}: not UTF-8 text"
    except documents.DocumentError as error:
        return str(error)


def main(callers_socket: socket.socket | None = None) -> None:
    """Run the forwarder with the settings file that `SETTINGS_VARIABLE` names.

    The price of leaving the failure domain is read from `domainchoice.PRICE_VARIABLE`.
    `callers_socket` is one that was bound before; it is used if it has the address in
    the settings.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.exit(f"{SETTINGS_VARIABLE} is not set; it names the settings file")
    price_text = os.environ.get(domainchoice.PRICE_VARIABLE)
    price_s = None if price_text is None else domainchoice.read_price(price_text)
    if isinstance(price_s, str):
        print(price_s, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    loaded = read_settings(path)
    if isinstance(loaded, str):
        print(loaded, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if callers_socket is not None and callers_socket.getsockname() != loaded.listen:
        callers_socket.close()
        callers_socket = None
    ForwarderProcess(loaded, path, callers_socket, price_s).run()


if __name__ == "__main__":
    main()
