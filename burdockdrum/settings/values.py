"""Validate single values by the type and name of their setting.

A new float, or a new key that ends in ``_file``, needs no check of its own.
"""

from collections.abc import Iterator
import math
import os
import re
from typing import Any

import msgspec

from burdockdrum.settings.problems import SettingsProblem

# Names are used in log lines, metrics and the paths of resources.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
_NAME_FIX = (
    "write 1 to 100 letters, digits, dots, colons, underscores or hyphens, "
    "a letter or digit first"
)
_NAME_KEYS = frozenset({"vm.id", "vm.region", "vm.data_centre"})
_NAME_TABLE_KEYS = frozenset(
    {
        "control.members",
        "claims.keepers",
        "topology.regions_by_data_centre",
    }
)


def check_values(settings: msgspec.Struct) -> Iterator[SettingsProblem]:
    """Find numbers that aren't finite, invalid names and unreadable files."""
    for key, value in _walk(settings, ""):
        if isinstance(value, float) and not math.isfinite(value):
            yield SettingsProblem(
                key=key,
                problem=f"is {value}",
                fix="write a finite number",
            )
        if key in _NAME_KEYS:
            yield from _check_name(key, value)
        if key in _NAME_TABLE_KEYS:
            for name in value:
                yield from _check_name(key, name)
        if key.endswith("_file") and value is not None:
            yield from _check_file(key, value)


def _walk(section: Any, path: str) -> Iterator[tuple[str, Any]]:
    for field in msgspec.structs.fields(section):
        value = getattr(section, field.name)
        key = f"{path}{field.name}"
        if isinstance(value, msgspec.Struct):
            yield from _walk(value, f"{key}.")
        else:
            yield key, value


def _check_name(key: str, name: str) -> Iterator[SettingsProblem]:
    if not _NAME.fullmatch(name):
        shown = name if len(name) <= 40 else f"{name[:40]}..."
        yield SettingsProblem(
            key=key, problem=f"has the name {shown!r}", fix=_NAME_FIX
        )


def _check_file(key: str, path: str) -> Iterator[SettingsProblem]:
    if not os.path.isfile(path) or not os.access(path, os.R_OK):
        yield SettingsProblem(
            key=key,
            problem=f"names {path!r}, which can't be read",
            fix="give the path of a file that this VM's user may read",
        )
