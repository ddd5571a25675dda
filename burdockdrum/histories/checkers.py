"""Checkers of the invariants of the system, one for each invariant.

Each takes a history and returns one sentence for each violation.
"""

import collections
from collections.abc import Callable
import math

from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import History
from burdockdrum.histories.events import RequestEnded
from burdockdrum.histories.events import RequestSent
from burdockdrum.histories.events import Sort

MAX_FORWARDS = 2
DRAIN_LIMIT_SECONDS = 4.0
ROLLOUT_LIMIT_SECONDS = 4.0
RECOVERY_SECONDS = 6.0
HOME_CLIENT_PREFIX = "home-"

Checker = Callable[[History], list[str]]


def check_residency(history: History) -> list[str]:
    """Check that no client's data is processed outside its residency."""
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
    """Check that no request is forwarded in a loop between data centres."""
    violations = []
    for forwarded in history.forwarded:
        path = (*forwarded.hops, forwarded.data_centre)
        if len(set(path)) < len(path):
            violations.append(f"{forwarded.request_id} went {path}")
        if len(forwarded.hops) > MAX_FORWARDS:
            violations.append(f"{forwarded.request_id} hopped {path}")
    return violations


def check_isolated_region_serves(history: History) -> list[str]:
    """Check that a partitioned region serves its own clients."""
    violations = []
    for number, (sent, ended) in _match_requests(history).items():
        region = sent.entry.split("-")[0]
        if sent.client_id != HOME_CLIENT_PREFIX + region:
            continue
        if sent.sort is Sort.BOOKING or not _is_only_isolated(
            history, sent, ended
        ):
            continue
        if ended.ending is not Ending.ANSWERED:
            violations.append(
                f"request {number} at {sent.entry}, cut off, was "
                f"{ended.ending.value} ({ended.code})"
            )
    return violations


def check_whole_answers(history: History) -> list[str]:
    """Check that every caller gets the complete response to its request."""
    violations = []
    for number, (sent, ended) in _match_requests(history).items():
        expected = history.expected_text_by_number.get(number)
        if sent.sort is Sort.BOOKING or expected is None:
            continue
        if ended.ending is Ending.ANSWERED and ended.text != expected:
            violations.append(
                f"request {number} was answered {ended.text!r}, "
                f"not {expected!r}"
            )
        if ended.ending is Ending.CUT and ended.has_terminator:
            violations.append(f"request {number} was cut but looks done")
        if not expected.startswith(ended.text):
            violations.append(
                f"request {number} received {ended.text!r} of {expected!r}"
            )
    return violations


def check_not_run(history: History) -> list[str]:
    """Check that a request refused as "not run" never runs.

    A booking may run when it is sent again, but must not have run before
    the refusal.
    """
    ran = {ran.number for ran in history.ran if ran.number is not None}
    first_run_by_key: dict[str, float] = {}
    for event in history.ran:
        if event.key is not None:
            first_run_by_key.setdefault(event.key, event.time)
    violations = []
    for number, (sent, ended) in _match_requests(history).items():
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
    """Check that a non-idempotent request runs at most once."""
    counts = collections.Counter(
        ran.key for ran in history.ran if ran.key is not None
    )
    return [
        f"key {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]


def check_draining(history: History) -> list[str]:
    """Check that a draining endpoint gets no new requests after the limit.

    An endpoint that restarts is a new incarnation, which isn't draining.
    """
    draining_since = {
        (draining.endpoint_id, draining.incarnation): draining.time
        for draining in history.draining
    }
    violations = []
    for ran in history.ran:
        draining = draining_since.get(
            (ran.endpoint_id, ran.incarnation), math.inf
        )
        if ran.time > draining + DRAIN_LIMIT_SECONDS:
            violations.append(
                f"{ran.endpoint_id} got request {ran.number} "
                f"{ran.time - draining:.1f} s after it started draining"
            )
    return violations


def check_graceful_shutdown(history: History) -> list[str]:
    """Check that draining a VM breaks off no request in flight."""
    violations = []
    for number, (sent, ended) in _match_requests(history).items():
        for drained in history.drained:
            if sent.entry != drained.vm_id:
                continue
            if not sent.time <= drained.until or ended.time < drained.time:
                continue
            if _overlaps_fault(history, sent, ended):
                continue
            if ended.ending is Ending.CUT:
                violations.append(
                    f"request {number} at {sent.entry} was cut by its drain"
                )
    return violations


def check_configuration(history: History) -> list[str]:
    """Check that accepted changes are applied in time and never revert."""
    return [
        *_check_monotonic(history),
        *_check_rollout_time(history),
        *_check_final_values(history),
    ]


CHECKERS: dict[str, Checker] = {
    "residency": check_residency,
    "no loop": check_no_loop,
    "isolated region serves": check_isolated_region_serves,
    "whole answers": check_whole_answers,
    "not run": check_not_run,
    "at most once": check_at_most_once,
    "leaving": check_draining,
    "graceful shutdown": check_graceful_shutdown,
    "configuration": check_configuration,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations by checker, without checkers that found none."""
    found = {name: check(history) for name, check in CHECKERS.items()}
    return {
        name: violations for name, violations in found.items() if violations
    }


def _match_requests(
    history: History,
) -> dict[int, tuple[RequestSent, RequestEnded]]:
    sent_by_number = {sent.number: sent for sent in history.sent}
    return {
        ended.number: (sent_by_number[ended.number], ended)
        for ended in history.ended
    }


def _overlaps_fault(
    history: History, sent: RequestSent, ended: RequestEnded
) -> bool:
    return any(
        fault.start - RECOVERY_SECONDS < ended.time
        and sent.time < fault.end + RECOVERY_SECONDS
        for fault in history.faults
    )


def _is_only_isolated(
    history: History, sent: RequestSent, ended: RequestEnded
) -> bool:
    """Return whether an isolation was the only fault of the region."""
    region = sent.entry.split("-")[0]
    is_isolated = False
    for fault in history.faults:
        overlaps = (
            fault.start < ended.time
            and sent.time < fault.end + RECOVERY_SECONDS
        )
        if fault.name == f"isolate {region}":
            is_isolated = is_isolated or (
                fault.start + RECOVERY_SECONDS <= sent.time
                and ended.time <= fault.end
            )
        elif overlaps and any(host.startswith(region) for host in fault.hosts):
            return False
    return is_isolated


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


def _check_rollout_time(history: History) -> list[str]:
    violations = []
    for accepted in history.accepted:
        limit = accepted.time + ROLLOUT_LIMIT_SECONDS
        if any(
            fault.start < limit
            and accepted.time < fault.end + RECOVERY_SECONDS
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
                f"{sorted(late)} after {ROLLOUT_LIMIT_SECONDS} s"
            )
    return violations


def _check_final_values(history: History) -> list[str]:
    """Check that every VM ends with the newest accepted values."""
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
            current = values.get(name)
            if seen.revision >= revision and current == value:
                continue
            if seen.time < history.ended_at - 1.0:
                continue
            violations.append(
                f"{vm_id} at revision {seen.revision} has {current!r} for "
                f"{name}, accepted as {value!r} at {revision}"
            )
    return violations
