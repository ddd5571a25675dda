"""What callers and operators were told, held against what has run."""

from dataclasses import dataclass

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, kw_only=True)
class Told:
    """What a caller was told of one request.

    ``status`` is 0 if its connection ended without an answer.
    """

    request_id: str
    path: str
    body: bytes
    status: int
    answer: bytes
    seconds: float


class Promises:
    """Check each promise and keep what was broken."""

    def __init__(self) -> None:
        """Hold nothing against anybody yet."""
        self.broken: list[str] = []
        self.counts_by_status: dict[int, int] = {}
        self.newest_acknowledged = 0
        self._told: list[Told] = []

    def take_answer(self, told: Told) -> None:
        """Take what a caller was told."""
        self._told.append(told)
        count = self.counts_by_status.get(told.status, 0)
        self.counts_by_status[told.status] = count + 1
        expected = told.request_id.encode() + b":" + told.body
        if told.status == 200 and told.answer != expected:
            self._break(told, f"got another answer: {told.answer[:60]!r}")

    def take_acknowledged(self, version: int) -> None:
        """Take a change that was acknowledged."""
        self.newest_acknowledged = max(self.newest_acknowledged, version)

    def take_read(self, version: int, acknowledged_before: int) -> None:
        """Take a configuration that was read.

        :param acknowledged_before: the newest version when it was asked for
        """
        if version < acknowledged_before:
            self.broken.append(
                f"version {version} was read after {acknowledged_before} had "
                "been acknowledged"
            )

    def check_runs(self, runs_by_id: dict[str, int], settled: bool) -> None:
        """Hold the answers against what the endpoints have run.

        :param settled: whether nothing is under way any more
        """
        for told in self._told:
            runs = runs_by_id.get(told.request_id, 0)
            if told.path.startswith("/once/") and runs > 1:
                self._break(told, f"ran {runs} times")
            promised = told.status in NOT_RUN_STATUSES
            once = told.path.startswith("/once/")
            if promised and once and runs and settled:
                self._break(told, f"was told {told.status} and has run")
            if told.status == 200 and not runs:
                self._break(told, "was answered and has not run")

    def _break(self, told: Told, what: str) -> None:
        self.broken.append(f"request {told.request_id} ({told.path}) {what}")
