"""Cause of a failed request, found in the logs of the packet programs."""

import collections.abc
import enum
import re

import msgspec

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# Lines further from the flow's packets than this belong to another story. A caller's
# deadline and the longest pause of its retransmissions lie well within it.
AROUND_S = 10.0
# Time that the platform allows until a version is in force everywhere.
IN_FORCE_S = 3.0

TARGET_EVENTS = (
    "target_suspected",
    "target_tried",
    "target_lost",
    "target_removed",
    "target_changed",
)
SOURCE_EVENTS = (
    "store_lost",
    "store_regained",
    "relay_connected",
    "relay_lost",
    "behind_neighbour",
    "configuration_in_force",
)
HOST_EVENTS = ("started", "stopping", "stopped", "pause_detected", "readiness_changed")


class Cause(enum.Enum):
    """What ended a flow, as far as logs tell."""

    TARGET_GONE = "target_gone"
    OLD_CONFIGURATION = "old_configuration"
    HOST_LOST = "host_lost"
    NO_ROUTE = "no_route"
    UNKNOWN_FLOW = "unknown_flow"
    NOT_FOUND = "not_found"


class Line(msgspec.Struct):
    """One line of a log: time in seconds, event, host, and all pairs."""

    time: float
    event: str
    host: str
    pairs: dict[str, str]
    text: str


class Story(msgspec.Struct):
    """The cause, and the lines that show it in the order of time."""

    cause: Cause
    lines: list[str]


def parse(text: str) -> list[Line]:
    """Return the readable lines of logs in the order of time."""
    found = []
    for line in text.splitlines():
        start = line.find("time=")
        pairs = dict(PAIR.findall(line[start:])) if start >= 0 else {}
        try:
            moment = float(pairs["time"])
            entry = Line(moment, pairs["event"], pairs["host"], pairs, line[start:])
        except (KeyError, ValueError):
            # Output of other programs, or a line that was cut.
            continue
        found.append(entry)
    return sorted(found, key=lambda entry: entry.time)


def near(
    lines: collections.abc.Iterable[Line], first: float, last: float
) -> list[Line]:
    """Return the lines around a span of time."""
    return [x for x in lines if first - AROUND_S <= x.time <= last + AROUND_S]


def trace(text: str, flow: str) -> Story:
    """Return why a flow failed.

    Parameters
    ----------
    text : str
        Logs of all hosts.
    flow : str
        The flow as logs name it: caller and port, ``>``, address and port.
    """
    lines = parse(text)
    own = [x for x in lines if x.pairs.get("flow") == flow]
    if not own:
        return Story(Cause.UNKNOWN_FLOW, [])
    around = near(lines, own[0].time, own[-1].time)
    placed = [x for x in own if x.event == "flow_placed"]
    for look in (late_configuration, gone_target, lost_host):
        evidence = look(around, own, placed)
        if evidence is not None:
            cause, shown = evidence
            ordered = sorted([*own, *shown], key=lambda x: x.time)
            return Story(cause, list(dict.fromkeys(x.text for x in ordered)))
    refused = any(x.pairs.get("reason") == "no_such_service" for x in own)
    cause = Cause.NO_ROUTE if refused else Cause.NOT_FOUND
    return Story(cause, [x.text for x in own])


Evidence = tuple[Cause, list[Line]] | None


def late_configuration(
    around: list[Line], own: list[Line], placed: list[Line]
) -> Evidence:
    """Look for a decision under an older version than was in force elsewhere."""
    del placed
    for line in own:
        version = int(line.pairs.get("config_version", 0))
        newer = [
            x
            for x in around
            if x.event == "configuration_in_force"
            and int(x.pairs["version"]) > version
            and x.time < line.time - IN_FORCE_S
        ]
        if version and newer:
            source = [
                x for x in around if x.host == line.host and x.event in SOURCE_EVENTS
            ]
            return Cause.OLD_CONFIGURATION, [newer[0], *source]
    return None


def gone_target(around: list[Line], own: list[Line], placed: list[Line]) -> Evidence:
    """Look for a target that was found gone after the flow was placed there."""
    targets = {x.pairs["target"] for x in own if "target" in x.pairs}
    shown = [
        x
        for x in around
        if x.event in TARGET_EVENTS
        and x.pairs.get("target") in targets
        and (not placed or x.time >= placed[0].time)
    ]
    unreachable = any(x.pairs.get("reason") == "target_unreachable" for x in own)
    if unreachable or any(x.event == "target_lost" for x in shown):
        return Cause.TARGET_GONE, shown
    if len(placed) > 1 and any(x.event == "target_suspected" for x in shown):
        return Cause.TARGET_GONE, shown
    return None


def lost_host(around: list[Line], own: list[Line], placed: list[Line]) -> Evidence:
    """Look for a restart of the host that took the flow's packets."""
    del placed
    hosts = {x.host for x in own}
    shown = [
        x
        for x in around
        if x.host in hosts and x.event in HOST_EVENTS and x.time > own[0].time
    ]
    if any(x.event in ("started", "pause_detected") for x in shown):
        return Cause.HOST_LOST, shown
    return None
