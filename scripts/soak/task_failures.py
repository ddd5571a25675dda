"""Errors after which a process went on, as its log tells.

A supervised task that fails costs no request, so that nothing else of a soak
would show the fault.
"""

import json

from scripts.local_deployment import Deployment

EVENT = "task.failed"


def find_task_failures(deployment: Deployment) -> list[str]:
    """Return a description of each error that the logs of VMs name."""
    failures = []
    for machine in deployment.machines:
        output = machine.folder / "output"
        if output.exists():
            log = output.read_text(errors="replace")
            failures += [
                f"{machine.name}: {f}" for f in describe_failures(log)
            ]
    return failures


def describe_failures(log: str) -> list[str]:
    """Return a description of each error in a log."""
    failures = []
    for line in log.splitlines():
        if EVENT not in line or not line.startswith("{"):
            continue
        fields = json.loads(line)
        if fields["event"] == EVENT:
            failures.append(
                f"task {fields['task']} failed: {fields['reason']} "
                f"in {fields['raised_in']}"
            )
    return failures
