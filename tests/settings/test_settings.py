"""Tests of reading and validating settings."""

import pathlib
import re
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.settings import load_settings
from burdockdrum.settings import read_settings
from burdockdrum.settings import Settings
from burdockdrum.settings import SettingsError
from tests.drawing import draw

GOOD = """
[vm]
id = "d1"
region = "dunantul"
data_centre = "dunantul-1"
[listen]
control = "tcp://127.0.0.1:7001"
[cluster]
secret = "sixteen characters and more"
[control]
data_folder = "data"
[control.members]
d1 = "tcp://127.0.0.1:7001"
"""
REFERENCE = (
    pathlib.Path(__file__).parents[2] / "docs" / "reference" / "settings.md"
)


def problems_of(text: str) -> list[str]:
    """Return the problems of settings as text."""
    try:
        read_settings(text)
    except SettingsError as error:
        return [str(problem) for problem in error.problems]
    return []


class SettingsTest(unittest.TestCase):
    """Each problem names the setting and a way to fix it."""

    def test_valid_settings_are_read(self):
        settings = read_settings(GOOD)
        self.assertEqual("d1", settings.vm.id)
        self.assertEqual(60.0, settings.limits.default_deadline_seconds)

    def test_misspelt_key_is_reported_with_the_most_similar(self):
        text = GOOD.replace("region =", "regoin =")
        self.assertEqual(
            ["vm.regoin is not a setting: did you mean 'region'?"],
            problems_of(text),
        )

    def test_every_unknown_key_is_reported(self):
        text = GOOD + "[limits]\nbody_byte = 1\n[elephants]\n"
        found = "\n".join(problems_of(text))
        self.assertIn("limits.body_byte is not a setting", found)
        self.assertIn("elephants is not a setting", found)

    def test_wrong_type_is_reported(self):
        text = GOOD + '[limits]\nbody_bytes = "many"\n'
        [problem] = problems_of(text)
        self.assertIn("limits.body_bytes", problem)
        self.assertIn("int", problem)

    def test_missing_key_is_reported(self):
        [problem] = problems_of(GOOD.replace('id = "d1"', ""))
        self.assertIn("id", problem)

    def test_invalid_toml_is_reported(self):
        [problem] = problems_of("[vm\n")
        self.assertIn("not TOML", problem)

    def test_all_problems_are_reported(self):
        text = GOOD.replace('data_folder = "data"', "")
        text = text.replace("127.0.0.1:7001", "localhost:7001", 1)
        found = "\n".join(problems_of(text))
        self.assertIn("control.data_folder is missing", found)
        self.assertIn("listen.control is 'tcp://localhost:7001'", found)
        self.assertIn("with an IP number, not a name", found)

    def test_even_number_of_control_vms_is_rejected(self):
        text = GOOD + 'd2 = "tcp://127.0.0.1:7002"\n'
        [problem] = problems_of(text)
        self.assertIn("name 1, 3 or 5 VMs", problem)

    def test_token_instead_of_a_hash_is_rejected(self):
        text = GOOD + '[operators]\ntoken_hashes = ["hunter2"]\n'
        [problem] = problems_of(text)
        self.assertIn("operators.token_hashes[0]", problem)
        self.assertIn("burdockdrum hash-token", problem)

    def test_names_invalid_in_logs_and_paths_are_rejected(self):
        for name in ("", "a b", "x" * 5000, "-a", "a/b", "a\\nb"):
            for key in ("id", "region", "data_centre"):
                text = re.sub(
                    rf"(?m)^{key} = .*$",
                    lambda _, name=name, key=key: f'{key} = "{name}"',
                    GOOD,
                )
                found = "\n".join(problems_of(text))
                self.assertIn(f"vm.{key} has the name", found)

    def test_invalid_name_of_a_member_is_rejected(self):
        found = problems_of(GOOD + '"d 2" = "tcp://127.0.0.1:7002"\n')
        self.assertIn("control.members has the name 'd 2'", "\n".join(found))

    def test_numbers_that_are_not_finite_are_rejected(self):
        # They would wait forever, or make every comparison false.
        for key, value in (
            ("drain.limit_seconds", "inf"),
            ("policy.max_wait_seconds", "nan"),
            ("attempts.first_token_seconds", "inf"),
        ):
            section, _, name = key.partition(".")
            text = GOOD + f"[{section}]\n{name} = {value}\n"
            self.assertIn(f"{key} is {value}", "\n".join(problems_of(text)))

    def test_unreadable_file_is_reported(self):
        text = GOOD.replace(
            'secret = "sixteen characters and more"',
            'secret_file = "/nowhere/secret"',
        )
        found = "\n".join(problems_of(text))
        self.assertIn("cluster.secret_file names '/nowhere/secret'", found)

    def test_two_listeners_on_one_port_are_rejected(self):
        text = GOOD.replace(
            "[cluster]", 'http = "http://127.0.0.1:7001"\n[cluster]'
        )
        self.assertIn("listen.http is", "\n".join(problems_of(text)))

    def test_file_that_is_not_utf8_is_rejected_with_the_fix(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_bytes(b'[vm]\nid = "\xff"\n')
            with self.assertRaises(SettingsError) as caught:
                load_settings(path)
        self.assertIn("save it as UTF-8", str(caught.exception))

    @draw(150)
    @given(strategies.text(max_size=200))
    def test_arbitrary_text_is_rejected_with_problems(self, text):
        found = problems_of(text)
        self.assertTrue(found)

    @draw(100)
    @given(
        strategies.sampled_from(GOOD.split("\n")),
        strategies.text(
            alphabet=strategies.characters(blacklist_characters="\n"),
            max_size=20,
        ),
    )
    def test_changed_line_raises_only_settings_errors(self, line, other):
        problems_of(GOOD.replace(line, other, 1))


class ReferenceTest(unittest.TestCase):
    """The reference page documents every setting with its default."""

    def test_every_setting_is_documented_with_its_default(self):
        page = REFERENCE.read_text()
        for path, default in list_settings(Settings, ""):
            row = re.search(rf"^\| `{re.escape(path)}` \|.*$", page, re.M)
            self.assertIsNotNone(row, f"{path} is not described")
            self.assertIn(f"| {default} |", row.group(0), path)


def list_settings(section: type, path: str) -> list[tuple[str, str]]:
    """List the settings of a section with their formatted defaults."""
    found = []
    for field in msgspec.structs.fields(section):
        options = getattr(field.type, "__args__", (field.type,))
        inner = [
            option
            for option in options
            if isinstance(option, type) and issubclass(option, msgspec.Struct)
        ]
        if inner:
            found += list_settings(inner[0], f"{path}{field.name}.")
        else:
            found.append((path + field.name, show_default(field)))
    return found


def show_default(field: msgspec.structs.FieldInfo) -> str:
    """Format a default like the reference page."""
    if field.default is msgspec.NODEFAULT:
        if field.default_factory is msgspec.NODEFAULT:
            return "required"
        return f"`{msgspec.json.encode(field.default_factory()).decode()}`"
    return f"`{msgspec.json.encode(field.default).decode()}`"
