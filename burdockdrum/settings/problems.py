"""What can be wrong with a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SettingsProblem:
    """One thing wrong with a settings file."""

    key: str
    problem: str
    fix: str

    def __str__(self) -> str:
        where = f"{self.key} " if self.key else ""
        return f"{where}{self.problem}: {self.fix}"
