"""Finds the cause of a failed flow in the logs of basilgate-forwarder."""

import bisect
import collections.abc
import enum
import re

import msgspec

# A key is tried once, from its first character on: a line may hold any bytes.
KEY_VALUE = re.compile(r'(?<!\w)(\w++)=("[^"\\]*+(?:\\.[^"\\]*+)*+"|\S++)')
# Lines logged longer than this before or after the flow's own lines count as unrelated.
# A caller's deadline and its longest retransmission delay are well below this.
CONTEXT_S = 10.0
MAX_DIGITS = 20  # A longer number is none that hosts write.
# Time that the platform allows until a new configuration is in force on all hosts.
IN_FORCE_LIMIT_S = 3.0

TARGET_EVENTS = (
    "target_suspected",
    "target_tried",
    "target_lost",
    "target_lost_at_neighbour",
    "target_removed",
    "target_changed",
)
DOCUMENT_SOURCE_EVENTS = (
    "store_lost",
    "store_regained",
    "relay_connected",
    "relay_lost",
    "behind_neighbour",
    "configuration_in_force",
)
EVACUATION_EVENTS = ("evacuation_in_force", "evacuation_ended")
HOST_EVENTS = ("started", "stopping", "stopped", "pause_detected", "readiness_changed")


class Cause(enum.Enum):
    """Cause of a flow's failure; the value is shown to operators.

    `EVACUATED` means that the only targets left were in evacuated failure domains,
    `HOST_LOST` that the host restarted or was paused, `UNKNOWN_FLOW` that no line names
    the flow, `NOT_FOUND` that its lines show no cause.
    """

    TARGET_GONE = "target_gone"
    EVACUATED = "evacuated"
    OLD_CONFIGURATION = "old_configuration"
    HOST_LOST = "host_lost"
    NO_ROUTE = "no_route"
    UNKNOWN_FLOW = "unknown_flow"
    NOT_FOUND = "not_found"


class LogLine(msgspec.Struct):
    """One line of a log: Unix time in seconds, event, host, and all key-value pairs."""

    time: float
    event: str
    host: str
    pairs: dict[str, str]
    text: str


class Diagnosis(msgspec.Struct):
    """Cause of a failure, and the log lines that show it, in the order of time."""

    cause: Cause
    lines: list[str]


def parse_lines(text: str) -> list[LogLine]:
    """Return the lines of logs that can be parsed, in the order of time."""
    parsed = []
    for line in text.splitlines():
        start = line.find("time=")
        pairs = dict(KEY_VALUE.findall(line[start:])) if start >= 0 else {}
        try:
            written_at = float(pairs["time"])
            parsed_line = LogLine(
                written_at, pairs["event"], pairs["host"], pairs, line[start:]
            )
        except (KeyError, ValueError):
            # Output of another program, or a truncated line.
            continue
        parsed.append(parsed_line)
    return sorted(parsed, key=lambda parsed_line: parsed_line.time)


def lines_around(
    lines: collections.abc.Iterable[LogLine], first: float, last: float
) -> list[LogLine]:
    """Return the lines from `CONTEXT_S` before `first` to `CONTEXT_S` after `last`.

    Evacuations may have begun long before, so all earlier lines of them are included.
    """
    return [
        line
        for line in lines
        if line.time <= last + CONTEXT_S
        and (line.time >= first - CONTEXT_S or line.event in EVACUATION_EVENTS)
    ]


def trace(text: str, flow: str) -> Diagnosis:
    """Return the cause of a flow's failure, with the lines that show it.

    Parameters
    ----------
    text : str
        Logs of all hosts.
    flow : str
        Flow in the form of the logs: caller and port, ``>``, address and port.
    """
    lines = parse_lines(text)
    flow_lines = [line for line in lines if line.pairs.get("flow") == flow]
    if not flow_lines:
        return Diagnosis(Cause.UNKNOWN_FLOW, [])
    nearby_lines = lines_around(lines, flow_lines[0].time, flow_lines[-1].time)
    placement_lines = [line for line in flow_lines if line.event == "flow_placed"]
    for find_cause in (
        find_old_configuration,
        find_evacuation,
        find_unreachable_target,
        find_host_restart,
    ):
        evidence = find_cause(nearby_lines, flow_lines, placement_lines)
        if evidence is not None:
            cause, evidence_lines = evidence
            ordered = sorted([*flow_lines, *evidence_lines], key=lambda line: line.time)
            return Diagnosis(cause, list(dict.fromkeys(line.text for line in ordered)))
    no_route = any(line.pairs.get("reason") == "no_such_service" for line in flow_lines)
    cause = Cause.NO_ROUTE if no_route else Cause.NOT_FOUND
    return Diagnosis(cause, [line.text for line in flow_lines])


Evidence = tuple[Cause, list[LogLine]] | None


def find_old_configuration(
    nearby_lines: list[LogLine],
    flow_lines: list[LogLine],
    placement_lines: list[LogLine],
) -> Evidence:
    """Find a line of the flow with an older configuration than in force elsewhere."""
    del placement_lines
    # The first line of each version that is higher than those before it.
    raised: list[tuple[int, LogLine]] = []
    for line in nearby_lines:
        version = number_in(line, "version")
        if line.event == "configuration_in_force" and (
            not raised or version > raised[-1][0]
        ):
            raised.append((version, line))
    for line in flow_lines:
        version = number_in(line, "config_version")
        index = bisect.bisect_right(raised, version, key=lambda entry: entry[0])
        if not version or index == len(raised):
            continue
        newer = raised[index][1]
        if newer.time < line.time - IN_FORCE_LIMIT_S:
            source_lines = [
                other
                for other in nearby_lines
                if other.host == line.host and other.event in DOCUMENT_SOURCE_EVENTS
            ]
            return Cause.OLD_CONFIGURATION, [newer, *source_lines]
    return None


def number_in(line: LogLine, key: str) -> int:
    """Return the number of a key, 0 if the line was cut or changed there."""
    text = line.pairs.get(key, "")
    is_number = text.isascii() and text.isdecimal() and len(text) < MAX_DIGITS
    return int(text) if is_number else 0


def find_evacuation(
    nearby_lines: list[LogLine],
    flow_lines: list[LogLine],
    placement_lines: list[LogLine],
) -> Evidence:
    """Find the evacuations in force where the flow was reset because of them."""
    del placement_lines
    for line in flow_lines:
        if line.pairs.get("reason") != "evacuated":
            continue
        latest = {
            other.pairs.get("domain", ""): other
            for other in nearby_lines
            if other.host == line.host
            and other.event in EVACUATION_EVENTS
            and other.time <= line.time
        }
        in_force = [
            other for other in latest.values() if other.event == "evacuation_in_force"
        ]
        return Cause.EVACUATED, in_force
    return None


def find_unreachable_target(
    nearby_lines: list[LogLine],
    flow_lines: list[LogLine],
    placement_lines: list[LogLine],
) -> Evidence:
    """Find evidence that the flow's target was unreachable after its placement."""
    targets = {line.pairs["target"] for line in flow_lines if "target" in line.pairs}
    evidence_lines = [
        line
        for line in nearby_lines
        if line.event in TARGET_EVENTS
        and line.pairs.get("target") in targets
        and (not placement_lines or line.time >= placement_lines[0].time)
    ]
    refused_as_unreachable = any(
        line.pairs.get("reason") == "target_unreachable" for line in flow_lines
    )
    if refused_as_unreachable or any(
        line.event == "target_lost" for line in evidence_lines
    ):
        return Cause.TARGET_GONE, evidence_lines
    if len(placement_lines) > 1 and any(
        line.event == "target_suspected" for line in evidence_lines
    ):
        return Cause.TARGET_GONE, evidence_lines
    return None


def find_host_restart(
    nearby_lines: list[LogLine],
    flow_lines: list[LogLine],
    placement_lines: list[LogLine],
) -> Evidence:
    """Find a restart or pause of a host that handled the flow's packets."""
    del placement_lines
    hosts = {line.host for line in flow_lines}
    evidence_lines = [
        line
        for line in nearby_lines
        if line.host in hosts
        and line.event in HOST_EVENTS
        and line.time > flow_lines[0].time
    ]
    if any(line.event in ("started", "pause_detected") for line in evidence_lines):
        return Cause.HOST_LOST, evidence_lines
    return None
