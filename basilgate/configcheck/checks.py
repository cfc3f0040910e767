"""The checks of a configuration; docs/config-check.md lists them by name."""

import collections
import collections.abc
import functools

from basilgate.configcheck import findings, model, wording

Findings = collections.abc.Iterator[findings.Finding]


def routes_by_service(draft: model.Draft) -> dict[str, list[model.DraftRoute]]:
    """Return the routes that lead to each service."""
    found = collections.defaultdict(list)
    for route in draft.routes:
        for service in sorted(route.reached_services()):
            found[service].append(route)
    return dict(found)


def find_undecoded(situation: model.Situation, *, kind: model.ProblemKind) -> Findings:
    """Find the fields that the decoder could not read, by the kind of the problem."""
    for problem in situation.draft.problems:
        if problem.kind is kind:
            yield findings.make(
                problem.severity, problem.entry, problem.field, problem.message
            )


for _kind in model.ProblemKind:
    findings.CHECKS.register(_kind.value)(functools.partial(find_undecoded, kind=_kind))


@findings.CHECKS.register("version-not-higher")
def find_old_version(situation: model.Situation) -> Findings:
    """Find a version that hosts would ignore, since they have it or a higher one."""
    draft, in_force = situation.draft, situation.in_force
    if draft.version is None or in_force is None or in_force.version is None:
        return
    if draft.version <= in_force.version:
        message = f"is {draft.version}, but {in_force.version} is in force: "
        yield findings.error(draft, "version", message + "it would have no effect")


@findings.CHECKS.register("unreadable-in-force")
def find_unreadable_version(situation: model.Situation) -> Findings:
    """Find a version in force with which nothing can be compared."""
    problem, in_force = situation.in_force_problem, situation.in_force
    if in_force is not None and in_force.version is None:
        problem = "it has no readable version number"
    if problem:
        message = f"the version in force cannot be read: {problem}"
        yield findings.warning(situation.draft, "", message)


@findings.CHECKS.register("duplicate-name")
def find_duplicate_names(situation: model.Situation) -> Findings:
    """Find routes, services, and members of a split with the name of an earlier one."""
    draft = situation.draft
    groups: list[list[tuple[str | None, model.Entry, str]]] = [
        [(route.name, route, "name") for route in draft.routes],
        [(service.name, service, "name") for service in draft.services],
    ]
    for route in draft.routes:
        groups.append([(part.service, part, "service") for part in route.split])
    for group in groups:
        first: dict[str, model.Entry] = {}
        for name, entry, attribute in group:
            if name is None:
                continue
            if name in first:
                message = f"has the same name as {first[name].place}"
                yield findings.error(entry, attribute, message)
            first.setdefault(name, entry)


@findings.CHECKS.register("same-address")
def find_same_addresses(situation: model.Situation) -> Findings:
    """Find routes with the address and port of an earlier one."""
    first: dict[tuple[str, int], model.DraftRoute] = {}
    for route in situation.draft.routes:
        if route.address is None or route.port is None:
            continue
        key = (route.address, route.port)
        if key in first:
            message = f"{route.address}:{route.port} is also the address of "
            message += f"{first[key].title}: only one of the two can match, and hosts "
            yield findings.error(route, "port", message + "take the last one listed")
        first.setdefault(key, route)


@findings.CHECKS.register("service-and-split")
def find_ignored_services(situation: model.Situation) -> Findings:
    """Find routes whose single service has no effect beside a split."""
    for route in situation.draft.routes:
        if route.split and route.service is not None:
            message = f"has no effect beside {route.field_names['split']}"
            yield findings.warning(route, "service", message)


@findings.CHECKS.register("split-without-weight")
def find_empty_splits(situation: model.Situation) -> Findings:
    """Find splits whose weights are all 0."""
    for route in situation.draft.routes:
        if route.split and all(member.weight == 0 for member in route.split):
            yield findings.error(route, "split", "all weights are 0")


@findings.CHECKS.register("member-without-weight")
def find_weightless_members(situation: model.Situation) -> Findings:
    """Find members of a split that get no flows."""
    for route in situation.draft.routes:
        for member in route.split:
            if member.weight == 0:
                message = "is 0: the service gets no flows of this route"
                yield findings.warning(member, "weight", message)


@findings.CHECKS.register("unused-service")
def find_unused_services(situation: model.Situation) -> Findings:
    """Find services that no route leads to."""
    reached = routes_by_service(situation.draft)
    for service in situation.draft.services:
        if service.name is not None and service.name not in reached:
            yield findings.warning(service, "", "no route leads to this service")


@findings.CHECKS.register("undescribed-service")
def find_undescribed_services(situation: model.Situation) -> Findings:
    """Find routes to a service that the configuration does not describe."""
    described = {service.name for service in situation.draft.services}
    for route in situation.draft.routes:
        for service, entry in route.named_services().items():
            if service not in described:
                message = f"leads to {service!a}, which is not among the services"
                yield findings.error(entry, "service", message)


@findings.CHECKS.register("no-health-path")
def find_missing_health_paths(situation: model.Situation) -> Findings:
    """Find services whose targets have no health page."""
    for service in situation.draft.services:
        if not service.health_path and not service.is_unreadable("health_path"):
            message = "is missing: the health of the targets cannot be checked"
            yield findings.warning(service, "health_path", message)


@findings.CHECKS.register("no-targets")
def find_services_without_targets(situation: model.Situation) -> Findings:
    """Find services without a target in the store that gets new flows."""
    if situation.store is None:
        return
    draft = situation.draft
    staying = {
        target.service for target in situation.store.targets if not target.leaving
    }
    known = {target.service for target in situation.store.targets}
    entries: dict[str, model.Entry] = {}
    for route in draft.routes:
        for service, entry in route.named_services().items():
            entries.setdefault(service, entry)
    entries.update(
        {service.name: service for service in draft.services if service.name}
    )
    for name, entry in entries.items():
        if name not in known:
            message = f"{name!a} has no target in the store"
            yield findings.error(entry, "", message)
        elif name not in staying:
            message = f"all targets of {name!a} in the store are leaving"
            yield findings.warning(entry, "", message)


@findings.CHECKS.register("latency-above-timeout")
def find_late_objectives(situation: model.Situation) -> Findings:
    """Find routes whose callers give up before the latency objective."""
    for route in situation.draft.routes:
        objective_s, timeout_s = route.latency_objective_s, route.timeout_s
        if objective_s is None or timeout_s is None or objective_s <= timeout_s:
            continue
        message = f"is {objective_s * 1e3:.10g} ms, above the timeout of "
        message += f"{timeout_s * 1e3:.10g} ms"
        yield findings.error(route, "latency_objective_s", message)


@findings.CHECKS.register("timeout-above-idle")
def find_late_timeouts(situation: model.Situation) -> Findings:
    """Find timeouts that end after an idle flow has been removed."""
    draft = situation.draft
    idle_s = draft.limits.idle_timeout_s
    if idle_s is None:
        return
    timed: list[tuple[model.Entry, str, float | None]] = [
        (route, "timeout_s", route.timeout_s) for route in draft.routes
    ]
    timed.append((draft.limits, "header_timeout_s", draft.limits.header_timeout_s))
    for entry, attribute, timeout_s in timed:
        if timeout_s is not None and timeout_s > idle_s:
            message = f"is {timeout_s * 1e3:.10g} ms, but a flow is removed after "
            message += f"{idle_s * 1e3:.10g} ms without a packet"
            yield findings.error(entry, attribute, message)


@findings.CHECKS.register("priority-without-effect")
def find_equal_priorities(situation: model.Situation) -> Findings:
    """Find services whose routes all have the same priority, and it is not 0.

    0 is the default, so that it expresses no order. Neither does the priority of the
    only route to a service, which a configuration nevertheless has to state.
    """
    groups = routes_by_service(situation.draft)
    ranked = {
        service
        for service, routes in groups.items()
        if len({route.priority for route in routes}) > 1
    }
    for service, routes in groups.items():
        if service in ranked or len(routes) == 1:
            continue
        has_effect = any(route.reached_services() & ranked for route in routes)
        if routes[0].priority and not has_effect:
            message = f"has no effect: all {len(routes)} routes to {service!a} have "
            message += f"{routes[0].priority}"
            yield findings.warning(routes[0], "priority", message)


@findings.CHECKS.register("cold-limits")
def find_useless_cold_limits(situation: model.Situation) -> Findings:
    """Find limits of cold targets that are negative or lack their counterpart."""
    for service in situation.draft.services:
        start_s, rate = service.cold_start_s, service.cold_rate_per_s
        for attribute, value in (("cold_start_s", start_s), ("cold_rate_per_s", rate)):
            if value is not None and value < 0:
                yield findings.error(service, attribute, f"is {value:g}: negative")
        names = service.field_names
        lacks_rate = rate is None and not service.is_unreadable("cold_rate_per_s")
        lacks_start = start_s is None and not service.is_unreadable("cold_start_s")
        if lacks_rate and start_s is not None and start_s > 0:
            message = f"has no {names['cold_rate_per_s']} beside it: the rate of a "
            message += "cold target is not known"
            yield findings.warning(service, "cold_start_s", message)
        # Two zeros say that targets are never cold.
        has_useless_rate = rate is not None and rate > 0 and start_s == 0
        if has_useless_rate or (lacks_start and rate is not None and rate >= 0):
            message = f"has no effect without a {names['cold_start_s']} above 0"
            yield findings.warning(service, "cold_rate_per_s", message)


@findings.CHECKS.register("dropped-route-with-overrides")
def find_dropped_routes(situation: model.Situation) -> Findings:
    """Find dropped routes to a service whose targets still have overrides."""
    if situation.store is None or situation.in_force is None:
        return
    kept = {(route.address, route.port) for route in situation.draft.routes}
    for route in situation.in_force.routes:
        if (route.address, route.port) in kept:
            continue
        for service in route.named_services():
            targets = {
                override.target
                for override in situation.store.overrides
                if override.service == service
            }
            if targets:
                message = "is in force and dropped here, while overrides of targets of "
                message += f"{service!a} are in force: {wording.listed(targets)}"
                made = findings.warning(route, "", message)
                made.entry = f"route {route.name!a}"
                yield made


@findings.CHECKS.register("override-without-route")
def find_idle_overrides(situation: model.Situation) -> Findings:
    """Find overrides of targets whose service no route leads to."""
    if situation.store is None:
        return
    reached = routes_by_service(situation.draft)
    targets = collections.defaultdict(set)
    for override in situation.store.overrides:
        if override.service not in reached:
            targets[override.service].add(override.target)
    for service, names in sorted(targets.items()):
        message = f"no route leads to {service!a}, but overrides of its targets are in "
        message += f"force: {wording.listed(names)}"
        yield findings.warning(situation.draft, "", message)


@findings.CHECKS.register("last-domain-evacuated")
def find_evacuated_services(situation: model.Situation) -> Findings:
    """Find services with targets in evacuated failure domains only."""
    state = situation.store
    if state is None or not state.evacuated:
        return
    domains = collections.defaultdict(set)
    for target in state.targets:
        if not target.leaving:
            domains[target.service].add(target.domain)
    for service, routes in sorted(routes_by_service(situation.draft).items()):
        if service in domains and domains[service] <= state.evacuated:
            message = f"leads to {service!a}, whose targets are all in evacuated "
            message += f"failure domains: {wording.listed(domains[service])}"
            attribute = "split" if routes[0].split else "service"
            yield findings.error(routes[0], attribute, message)
