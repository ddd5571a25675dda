"""Problems in a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SettingsProblem:
    """A problem with a setting, and how to fix it."""

    key: str
    problem: str
    fix: str

    def __str__(self) -> str:
        where = f"{self.key} " if self.key else ""
        return f"{where}{self.problem}: {self.fix}"
