"""Tests that the reference page documents exactly the existing fields."""

import pathlib
import re
import unittest

import msgspec

from burdockdrum.resources import SPECS_BY_KIND

PAGE = pathlib.Path(__file__).parents[2] / "docs/reference/resources.md"


class ReferenceTest(unittest.TestCase):
    def test_page_documents_every_field_and_its_default(self):
        rows = re.findall(
            r"^\| `(\w+\.\w+)` \| (.+?) \|", PAGE.read_text(), re.M
        )
        fields = {}
        for kind, spec in SPECS_BY_KIND.items():
            for field in msgspec.structs.fields(spec):
                fields[f"{kind}.{field.name}"] = self.show(field)
        self.assertEqual(fields, dict(rows))

    def show(self, field) -> str:
        if field.required:
            return "required"
        if field.name == "quota":
            return "none"
        default = field.default
        if default is msgspec.NODEFAULT:
            default = field.default_factory()
        return f"`{msgspec.json.encode(default).decode()}`"
