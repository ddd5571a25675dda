"""A checker for each point of "What must always hold".

Each takes a history and returns a sentence a violation; an empty list means
that the condition held.
"""

import collections
from collections.abc import Callable
import math

from burdockdrum.histories.events import Ended
from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import History
from burdockdrum.histories.events import Sent
from burdockdrum.histories.events import Sort

MAX_FORWARDS = 2
LEAVE_SECONDS = 4.0
IN_FORCE_SECONDS = 4.0
SETTLE_SECONDS = 6.0
HOME_CLIENT_PREFIX = "home-"

Checker = Callable[[History], list[str]]


def check_residency(history: History) -> list[str]:
    """A client's data is never processed outside its residency."""
    clients: dict[object, str] = {}
    for sent in history.sent:
        clients[sent.number] = sent.client_id
        if sent.key is not None:
            clients[sent.key] = sent.client_id
    violations = []
    for ran in history.ran:
        client_id = clients[ran.key or ran.number]
        if ran.region not in history.residency_by_client[client_id]:
            violations.append(
                f"{ran.key or ran.number} of {client_id} ran in {ran.region}"
            )
    return violations


def check_no_loop(history: History) -> list[str]:
    """No request travels in a loop between data centres."""
    violations = []
    for forwarded in history.forwarded:
        path = (*forwarded.hops, forwarded.data_centre)
        if len(set(path)) < len(path):
            violations.append(f"{forwarded.request_id} went {path}")
        if len(forwarded.hops) > MAX_FORWARDS:
            violations.append(f"{forwarded.request_id} hopped {path}")
    return violations


def check_isolated_region_serves(history: History) -> list[str]:
    """A region cut off from the others serves its own callers."""
    violations = []
    for number, (sent, ended) in _pairs(history).items():
        region = sent.entry.split("-")[0]
        if sent.client_id != HOME_CLIENT_PREFIX + region:
            continue
        if sent.sort is Sort.BOOKING or not _only_cut(history, sent, ended):
            continue
        if ended.ending is not Ending.ANSWERED:
            violations.append(
                f"request {number} at {sent.entry}, cut off, was "
                f"{ended.ending.value} ({ended.code})"
            )
    return violations


def check_whole_answers(history: History) -> list[str]:
    """Every caller receives the whole answer to its own request only."""
    violations = []
    for number, (sent, ended) in _pairs(history).items():
        wanted = history.answers_by_number.get(number)
        if sent.sort is Sort.BOOKING or wanted is None:
            continue
        if ended.ending is Ending.ANSWERED and ended.text != wanted:
            violations.append(
                f"request {number} was answered {ended.text!r}, not {wanted!r}"
            )
        if ended.ending is Ending.CUT and ended.marked_done:
            violations.append(f"request {number} was cut but looks done")
        if not wanted.startswith(ended.text):
            violations.append(
                f"request {number} received {ended.text!r} of {wanted!r}"
            )
    return violations


def check_not_run(history: History) -> list[str]:
    """A request refused as "not run" did not run, and will not.

    A booking refused so may run when it is sent again; it must not have run
    before the refusal.
    """
    ran = {ran.number for ran in history.ran if ran.number is not None}
    first_run_by_key: dict[str, float] = {}
    for event in history.ran:
        if event.key is not None:
            first_run_by_key.setdefault(event.key, event.time)
    violations = []
    for number, (sent, ended) in _pairs(history).items():
        if ended.verdict != "not run":
            continue
        first_run = first_run_by_key.get(sent.key or "", ended.time)
        if number in ran or first_run < ended.time:
            violations.append(
                f"request {number} was refused as not run ({ended.code}), "
                "but ran"
            )
    return violations


def check_at_most_once(history: History) -> list[str]:
    """An unrepeatable request runs at most once."""
    counts = collections.Counter(
        ran.key for ran in history.ran if ran.key is not None
    )
    return [
        f"key {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]


def check_leaving(history: History) -> list[str]:
    """A leaving endpoint gets no new work after a few seconds.

    One that crashed and started again since is another start, which offers
    itself.
    """
    left_at = {
        (left.endpoint_id, left.incarnation): left.time
        for left in history.left
    }
    violations = []
    for ran in history.ran:
        left = left_at.get((ran.endpoint_id, ran.incarnation), math.inf)
        if ran.time > left + LEAVE_SECONDS:
            violations.append(
                f"{ran.endpoint_id} got request {ran.number} "
                f"{ran.time - left:.1f} s after it left"
            )
    return violations


def check_graceful_shutdown(history: History) -> list[str]:
    """A graceful shutdown cuts off no request in flight."""
    violations = []
    for number, (sent, ended) in _pairs(history).items():
        for drained in history.drained:
            if sent.entry != drained.vm_id:
                continue
            if not sent.time <= drained.until or ended.time < drained.time:
                continue
            if _touched(history, sent, ended):
                continue
            if ended.ending is Ending.CUT:
                violations.append(
                    f"request {number} at {sent.entry} was cut by its drain"
                )
    return violations


def check_configuration(history: History) -> list[str]:
    """An accepted change is in force soon and never reverts."""
    return [
        *_check_monotonic(history),
        *_check_in_force_soon(history),
        *_check_last_values(history),
    ]


CHECKERS: dict[str, Checker] = {
    "residency": check_residency,
    "no loop": check_no_loop,
    "isolated region serves": check_isolated_region_serves,
    "whole answers": check_whole_answers,
    "not run": check_not_run,
    "at most once": check_at_most_once,
    "leaving": check_leaving,
    "graceful shutdown": check_graceful_shutdown,
    "configuration": check_configuration,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations by checker, for those that found any."""
    found = {name: check(history) for name, check in CHECKERS.items()}
    return {
        name: violations for name, violations in found.items() if violations
    }


def _pairs(history: History) -> dict[int, tuple[Sent, Ended]]:
    sent_by_number = {sent.number: sent for sent in history.sent}
    return {
        ended.number: (sent_by_number[ended.number], ended)
        for ended in history.ended
    }


def _touched(history: History, sent: Sent, ended: Ended) -> bool:
    return any(
        fault.start - SETTLE_SECONDS < ended.time
        and sent.time < fault.end + SETTLE_SECONDS
        for fault in history.faults
    )


def _only_cut(history: History, sent: Sent, ended: Ended) -> bool:
    """Say whether the region was cut off throughout and nothing else."""
    region = sent.entry.split("-")[0]
    inside = False
    for fault in history.faults:
        overlaps = (
            fault.start < ended.time and sent.time < fault.end + SETTLE_SECONDS
        )
        if fault.name == f"isolate {region}":
            inside = inside or (
                fault.start + SETTLE_SECONDS <= sent.time
                and ended.time <= fault.end
            )
        elif overlaps and any(host.startswith(region) for host in fault.hosts):
            return False
    return inside


def _check_monotonic(history: History) -> list[str]:
    violations = []
    highest: dict[tuple[str, int], int] = {}
    for seen in history.in_force:
        key = (seen.vm_id, seen.incarnation)
        if seen.revision < highest.get(key, 0):
            violations.append(
                f"{seen.vm_id} went back from revision "
                f"{highest[key]} to {seen.revision}"
            )
        highest[key] = max(highest.get(key, 0), seen.revision)
    return violations


def _check_in_force_soon(history: History) -> list[str]:
    violations = []
    for accepted in history.accepted:
        limit = accepted.time + IN_FORCE_SECONDS
        if any(
            fault.start < limit and accepted.time < fault.end + SETTLE_SECONDS
            for fault in history.faults
        ):
            continue
        late = {
            seen.vm_id
            for seen in history.in_force
            if limit <= seen.time <= limit + 1.0
            and 0 < seen.revision < accepted.revision
        }
        if late:
            violations.append(
                f"revision {accepted.revision} is not in force at "
                f"{sorted(late)} after {IN_FORCE_SECONDS} s"
            )
    return violations


def _check_last_values(history: History) -> list[str]:
    """At the end every VM holds the newest accepted value or a later one."""
    newest: dict[str, tuple[int, str]] = {}
    for accepted in history.accepted:
        name = f"{accepted.kind}/{accepted.name}"
        newest[name] = max(
            newest.get(name, (0, "")), (accepted.revision, accepted.value)
        )
    last = {seen.vm_id: seen for seen in history.in_force}
    violations = []
    for vm_id, seen in last.items():
        values = dict(seen.values)
        for name, (revision, value) in newest.items():
            held = values.get(name)
            if seen.revision >= revision and held == value:
                continue
            if seen.time < history.ended_at - 1.0:
                continue
            violations.append(
                f"{vm_id} at revision {seen.revision} holds {held!r} for "
                f"{name}, accepted as {value!r} at {revision}"
            )
    return violations
