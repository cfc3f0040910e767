"""Configurations of the size in the capacity goal, for measurements."""

import collections.abc
import dataclasses
import typing

from basilgate import sheet, storedobjects

# Capacity goal, docs/design.md section 1.4.
NODES = 550
TARGETS = 4_700
SERVICES = 1_400
DOMAINS = 8
DOMAIN_MEMBERS = 69
OPEN_FLOWS = 3_600_000
NEW_FLOWS_PER_S = 27_000
CHANGES_PER_DAY = 820
RESTARTS_PER_DAY = 970
FAILURES_PER_DAY = 6
BUDGET_CORE_SHARE = 0.042
BUDGET_BYTES = 64 * 1024 * 1024
BUDGET_BYTES_PER_S = 24 * 1024
SECONDS_PER_DAY = 86_400

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Number of services, and of targets by failure domain."""

    services: int
    targets: collections.abc.Mapping[str, int]


def goal() -> Size:
    """Return the size of the capacity goal, with equal failure domains."""
    each, rest = divmod(TARGETS, DOMAINS)
    counts = {f"domain-{n}": each + (n <= rest) for n in range(1, DOMAINS + 1)}
    return Size(SERVICES, counts)


def sheet_parts(
    size: Size, addresses: collections.abc.Sequence[str]
) -> dict[str, Json]:
    """Return the parts of a sheet as JSON values, by content address.

    Parameters
    ----------
    size : Size
        What the sheet holds.
    addresses : sequence of str
        IP numbers that the targets take in turn, with ports 8000 and 8001.
    """
    domains = tuple(
        storedobjects.SheetDomain(name=name, number=number)
        for number, name in enumerate(size.targets, start=1)
    )
    services = tuple(
        storedobjects.SheetService(
            name=f"service-{number:04d}", id=number, work_class="short"
        )
        for number in range(1, size.services + 1)
    )
    placed = [name for name, count in size.targets.items() for _ in range(count)]
    targets = [
        storedobjects.SheetTarget(
            name=f"target-{number:05d}",
            id=number,
            service=services[number % len(services)].name,
            failure_domain=domain,
            address=f"{addresses[number % len(addresses)]}:8000",
            admin=f"{addresses[number % len(addresses)]}:8001",
        )
        for number, domain in enumerate(placed, start=1)
    ]
    content = sheet.Content(domains=domains, services=services, targets=tuple(targets))
    return sheet.divide(content)


def manifest(parts: collections.abc.Iterable[str]) -> Json:
    """Return the manifest of a sheet with these parts."""
    written = storedobjects.Sheet(
        date="2026-12-04", applied_at="2026-12-04T06:00:00Z", parts=tuple(parts)
    )
    return written.model_dump(mode="json")


def member(domain: str, number: int) -> storedobjects.Member:
    """Return a member of a view with names and addresses of ordinary length."""
    address = f"127.200.{number // 250}.{number % 250}"
    return storedobjects.Member(
        host=f"{domain}-host-{number}",
        incarnation=1_780_000_000_000_000_000 + number,
        callers=f"{address}:7000",
        peers=f"{address}:7001",
        admin=f"{address}:7002",
    )


def view(domain: str, members: int, epoch: int = 1) -> storedobjects.View:
    """Return a view of a failure domain."""
    listed = tuple(member(domain, number) for number in range(members))
    return storedobjects.View(domain=domain, epoch=epoch, members=listed)


def override(number: int, service: str, target: str) -> Json:
    """Return an override as a JSON value."""
    value = storedobjects.Override(
        id=f"override-{number:05d}",
        kind="weight",
        service=service,
        target=target,
        weight=50 + number % 100,
        operator="capacity",
        reason="measurement",
        created_at="2026-12-04T06:00:00Z",
    )
    return value.model_dump(mode="json")
