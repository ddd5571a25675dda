"""Read settings from TOML and report every problem with a fix."""

import difflib
import pathlib
import re
import tomllib
from typing import Any
from typing import TypeVar

import msgspec

from burdockdrum.settings.checks import check_policy
from burdockdrum.settings.checks import check_settings
from burdockdrum.settings.model import PolicySettings
from burdockdrum.settings.model import Settings
from burdockdrum.settings.problems import SettingsProblem
from burdockdrum.settings.values import check_values

_Section = TypeVar("_Section", bound=msgspec.Struct)


class SettingsError(Exception):
    """A settings file is invalid; ``problems`` lists the reasons."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: with every problem found
    """
    return read_settings(_read_text(path))


def load_policy(path: pathlib.Path) -> PolicySettings:
    """Read and validate a file that contains only the table ``policy``.

    :raises SettingsError: with every problem found
    """
    fields = _parse(_read_text(path))
    file = _convert(fields, PolicyFile)
    problems = [*check_values(file), *check_policy(file.policy)]
    if problems:
        raise SettingsError(problems)
    return file.policy


class PolicyFile(msgspec.Struct, forbid_unknown_fields=True):
    """A policy file, for VMs whose other settings come from elsewhere."""

    policy: PolicySettings = PolicySettings()


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError(
            [
                SettingsProblem(
                    key="",
                    problem=f"{path} is not UTF-8 at byte {error.start}",
                    fix="save it as UTF-8, as TOML files are",
                )
            ]
        ) from None
    except OSError as error:
        raise SettingsError(
            [
                SettingsProblem(
                    key="",
                    problem=f"can't read {path}: {error.strerror}",
                    fix="give the path of a readable TOML file",
                )
            ]
        ) from None


def read_settings(text: str) -> Settings:
    """Parse and validate settings from TOML.

    :raises SettingsError: with every problem found
    """
    settings = _convert(_parse(text), Settings)
    problems = check_settings(settings)
    if problems:
        raise SettingsError(problems)
    return settings


def _parse(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            [
                SettingsProblem(
                    key="", problem=f"not TOML: {error}", fix="fix the syntax"
                )
            ]
        ) from None


def _convert(fields: dict[str, Any], kind: type[_Section]) -> _Section:
    problems = find_unknown_keys(fields, kind, "")
    if problems:
        raise SettingsError(problems)
    try:
        return msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        raise SettingsError([_make_conversion_problem(str(error))]) from None


def find_unknown_keys(
    fields: dict[str, Any], section: type, path: str
) -> list[SettingsProblem]:
    """List unknown keys, each with the most similar known one."""
    known = {
        field.name: field.type for field in msgspec.structs.fields(section)
    }
    problems = []
    for key, value in fields.items():
        if key not in known:
            problems.append(
                _make_unknown_key_problem(path + key, key, list(known))
            )
            continue
        inner = _find_section(known[key])
        if inner is not None and isinstance(value, dict):
            problems += find_unknown_keys(value, inner, f"{path}{key}.")
    return problems


def _find_section(annotation: Any) -> type | None:
    options = getattr(annotation, "__args__", (annotation,))
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _make_unknown_key_problem(
    path: str, key: str, known: list[str]
) -> SettingsProblem:
    near = difflib.get_close_matches(key, known, n=1)
    fix = f"did you mean {near[0]!r}?" if near else "remove it"
    if not near:
        fix += f"; known here: {', '.join(sorted(known))}"
    return SettingsProblem(key=path, problem="is not a setting", fix=fix)


def _make_conversion_problem(message: str) -> SettingsProblem:
    found = re.search(r"at `\$\.?(.*)`", message)
    key = found.group(1) if found else ""
    problem = message.split(" - at ")[0]
    return SettingsProblem(
        key=key,
        problem=problem,
        fix="see docs/reference/settings.md for its type",
    )
