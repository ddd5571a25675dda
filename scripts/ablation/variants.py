"""The full policy, and its variants with one mechanism disabled."""

from dataclasses import dataclass

import msgspec

from burdockdrum.settings import MechanismSettings

# The name of the variant that the others are compared with.
FULL_POLICY = "all in use"


@dataclass(frozen=True, kw_only=True)
class Variant:
    """A policy; ``disabled`` names the disabled mechanism, if any."""

    name: str
    disabled: str | None = None

    def mechanisms(self) -> MechanismSettings:
        """Return the settings of the mechanisms."""
        if self.disabled is None:
            return MechanismSettings()
        return msgspec.structs.replace(
            MechanismSettings(), **{self.disabled: False}
        )

    def format_policy(self) -> str:
        """Return the equivalent policy file in TOML."""
        if self.disabled is None:
            return "[policy]\n"
        return f"[policy.mechanisms]\n{self.disabled} = false\n"


def list_mechanisms() -> list[str]:
    """Return the names of all mechanisms."""
    return [f.name for f in msgspec.structs.fields(MechanismSettings)]


def list_variants(only: list[str]) -> list[Variant]:
    """Return the full policy, then a variant without each mechanism.

    :param only: the mechanisms to disable; empty for all
    :raises ValueError: if a mechanism does not exist
    """
    known = list_mechanisms()
    for name in only:
        if name not in known:
            raise ValueError(f"mechanism {name!r} does not exist; see --list")
    chosen = only or known
    return [
        Variant(name=FULL_POLICY),
        *(Variant(name=f"no {name}", disabled=name) for name in chosen),
    ]
