"""Control VMs whose disks are made to refuse writes."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import math
import resource
import signal
import time

from scripts.local_deployment import call
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Machine
from scripts.local_deployment import STOP_TIMEOUT_SECONDS

POLL_SECONDS = 0.05
PROBE_SECONDS = 0.5


class ControlDisks:
    """Starts, ends and pauses control processes, and limits their files.

    A disk refuses by a limit of 0 on the size of files that the process
    writes. ``changed_at`` is when a process or its disk last changed, by
    monotonic time. ``had_quorum`` becomes true whenever the disks of a quorum
    accept writes. Processes that end are started again, unless they are down.
    """

    def __init__(
        self, *, machines: Sequence[Machine], record: Callable[[str], None]
    ) -> None:
        """Create it for processes that are about to start.

        :param record: records what is done
        """
        self.machines = machines
        self.quorum = len(machines) // 2 + 1
        self.changed_at = self._unwell_at = time.monotonic()
        self.had_quorum = False
        self.violations: list[str] = []
        self._record = record
        self._refusing: set[str] = set()
        self._paused: set[str] = set()
        self._down: set[str] = set()
        self._ending_at_by_name: dict[str, float] = {}
        self._starting = {machine.name for machine in machines}
        for machine in machines:
            machine.pipes_output = True

    def list_answering(self) -> list[Machine]:
        """Return the processes that must answer requests."""
        silent = self._paused | self._down | self._starting
        silent |= self._ending_at_by_name.keys()
        running = filter(_is_running, self.machines)
        return [machine for machine in running if machine.name not in silent]

    def list_well(self) -> list[Machine]:
        """Return the processes that answer and whose disks accept writes."""
        answering = self.list_answering()
        return [m for m in answering if m.name not in self._refusing]

    async def all_answer(self) -> bool:
        """Return whether all processes must answer requests."""
        return len(self.list_answering()) == len(self.machines)

    def may_write(self) -> bool:
        """Return whether the disks of a quorum may accept writes."""
        running = filter(_is_running, self.machines)
        names = {machine.name for machine in running} - self._refusing
        return len(names) >= self.quorum

    def find_unwell_time(self) -> float:
        """Return when less than a quorum was well for the last time."""
        if len(self.list_well()) < self.quorum:
            self._unwell_at = time.monotonic()
        return self._unwell_at

    def refuse(self, machine: Machine) -> None:
        """Let a disk refuse writes."""
        self._refusing.add(machine.name)
        self._limit(machine, "refuses writes")

    def accept(self, machine: Machine) -> None:
        """Let a disk accept writes again."""
        self._refusing.discard(machine.name)
        self._limit(machine, "accepts writes")

    def pause(self, machine: Machine) -> None:
        """Suspend a process that isn't ending."""
        is_ending = machine.name in self._ending_at_by_name
        if _is_running(machine) and not is_ending:
            machine.send_signal(signal.SIGSTOP)
            self._paused.add(machine.name)
            self._note(machine, "paused")

    def resume(self, machine: Machine) -> None:
        """Let a suspended process go on."""
        if machine.name in self._paused:
            self._note(machine, "goes on")
            machine.send_signal(signal.SIGCONT)
            self._paused.discard(machine.name)

    def kill(self, machine: Machine) -> None:
        """Kill a process, and leave it down."""
        self._end(machine, signal.SIGKILL)

    def terminate(self, machine: Machine) -> None:
        """Ask a process to end, and leave it down."""
        self._end(machine, signal.SIGTERM)

    def _end(self, machine: Machine, number: signal.Signals) -> None:
        self.resume(machine)
        self._down.add(machine.name)
        if _is_running(machine):
            self._note(machine, number.name)
            self._ending_at_by_name[machine.name] = time.monotonic()
            machine.send_signal(number)

    def start(self, machine: Machine) -> None:
        """Let a process that is down start again, its disk as it is."""
        self._down.discard(machine.name)

    def restore(self) -> None:
        """Let all processes run and all disks accept writes."""
        for machine in self.machines:
            self.resume(machine)
            self.accept(machine)
            self.start(machine)

    async def supervise(self, machine: Machine) -> None:
        """Start a process whenever it has ended, until cancelled."""
        while True:
            ending_at = self._ending_at_by_name.get(machine.name, math.inf)
            if _is_running(machine):
                if machine.name in self._starting and await _answers(machine):
                    self._note(machine, "answers")
                    self._starting.discard(machine.name)
                if time.monotonic() > ending_at + STOP_TIMEOUT_SECONDS:
                    self.violations.append(f"{machine.name} did not end")
                    self.kill(machine)
            elif machine.process is not None:
                code = await machine.wait_until_exited()
                self._note(machine, f"ended with code {code}")
                self._ending_at_by_name.pop(machine.name, None)
                is_excused = ending_at < math.inf
                if not is_excused and machine.name not in self._refusing:
                    self.violations.append(f"control VM {machine.name} ended")
            elif machine.name not in self._down:
                self._starting.add(machine.name)
                await machine.start()
                self._limit(machine, "started")
            await asyncio.sleep(POLL_SECONDS)

    def _limit(self, machine: Machine, description: str) -> None:
        self._note(machine, description)
        _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
        limits = (0 if machine.name in self._refusing else hard, hard)
        if machine.process is not None:
            with contextlib.suppress(ProcessLookupError):
                pid = machine.process.pid
                resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)

    def _note(self, machine: Machine, description: str) -> None:
        self.find_unwell_time()
        self.changed_at = time.monotonic()
        self.had_quorum |= self.may_write()
        self._record(f"{machine.name} {description}")


def _is_running(machine: Machine) -> bool:
    process = machine.process
    return process is not None and process.returncode is None


async def _answers(machine: Machine) -> bool:
    status, _ = await call(
        machine.ip, CONTROL_PORT, "GET", "/v1/config", seconds=PROBE_SECONDS
    )
    return status != 0
