"""Tests of the variants and the report of the ablation study."""

import pathlib
import tempfile
import unittest

from burdockdrum.settings import load_policy
from burdockdrum.settings import SettingsError
from scripts.ablation.report import format_rows
from scripts.ablation.variants import FULL_POLICY
from scripts.ablation.variants import list_mechanisms
from scripts.ablation.variants import list_variants

PACKAGE = pathlib.Path(__file__).parents[2] / "burdockdrum"


def read_policy(text):
    """Load a policy file with the given text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "policy.toml"
        path.write_text(text)
        return load_policy(path)


class VariantTest(unittest.TestCase):
    """Variants with one mechanism disabled."""

    def test_policy_file_disables_the_mechanism_of_the_variant(self):
        for variant in list_variants([]):
            with self.subTest(variant.name):
                policy = read_policy(variant.format_policy())
                self.assertEqual(variant.mechanisms(), policy.mechanisms)
                disabled = [
                    name
                    for name in list_mechanisms()
                    if not getattr(policy.mechanisms, name)
                ]
                self.assertEqual(
                    [variant.disabled] if variant.disabled else [], disabled
                )

    def test_every_mechanism_setting_is_used(self):
        # An unused setting would appear as a mechanism without effect.
        code = "".join(
            path.read_text()
            for path in PACKAGE.rglob("*.py")
            if path.name != "model.py"
        )
        for name in list_mechanisms():
            self.assertIn(f"mechanisms.{name}", code, name)

    def test_unknown_mechanism_is_rejected_with_a_suggestion(self):
        with self.assertRaises(ValueError):
            list_variants(["stale_sprad"])
        with self.assertRaisesRegex(SettingsError, "stale_spread"):
            read_policy("[policy.mechanisms]\nstale_sprad = false\n")

    def test_mechanism_setting_that_is_not_boolean_is_rejected(self):
        for value in ('"off"', "0", "nan"):
            text = f"[policy.mechanisms]\nstale_spread = {value}\n"
            with (
                self.subTest(value),
                self.assertRaisesRegex(SettingsError, "stale_spread"),
            ):
                read_policy(text)

    def test_policy_file_with_other_settings_is_rejected(self):
        with self.assertRaisesRegex(SettingsError, "listen"):
            read_policy("[listen]\n")
        with self.assertRaisesRegex(SettingsError, "policy.choices"):
            read_policy("[policy]\nchoices = 0\n")


class ReportTest(unittest.TestCase):
    """The table of a comparison."""

    def test_losses_are_paired_by_case(self):
        # The loss is 0.02 in both cases, much less than the difference of 0.3
        # between the cases. A case without a result is skipped.
        table = format_rows(
            {
                FULL_POLICY: {"a": 0.5, "b": 0.8, "c": 0.9},
                "no x": {"a": 0.48, "b": 0.78, "c": None},
                "no y": {"a": 0.52, "b": 0.78, "c": 0.9},
            }
        )
        rows = {line.split(" | ")[0]: line for line in table.splitlines()}
        self.assertIn("| +0.0200 | 0.0000 |  |", rows["| no x"])
        self.assertIn("within the spread", rows["| no y"])
        self.assertIn("| 3 | 0.7333 |", rows["| all in use"])


if __name__ == "__main__":
    unittest.main()
