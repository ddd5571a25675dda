"""Tests that something reads each value that the platform's folder decodes."""

import ast
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "platform" / "adapter"
PACKAGE = ROOT / "burdockdrum"
# The classes that decoded values of others are handed over in.
CARRIERS = frozenset(
    {
        "Backend",
        "Engine",
        "HeaderNames",
        "ListenerLimits",
        "RateLimit",
        "Registration",
        "Route",
        "RouteTableSpec",
        "RouteTeam",
        "WeightedService",
    }
)


def list_decoded(folder):
    """Return the fields that a folder fills in, by the carrier's name."""
    fields_by_carrier = {}
    for path in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "id", None)
            if name in CARRIERS:
                fields = fields_by_carrier.setdefault(name, set())
                fields.update(keyword.arg for keyword in node.keywords)
    return fields_by_carrier


def list_read(folders):
    """Return the names of all attributes that folders read."""
    return {
        node.attr
        for folder in folders
        for path in folder.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load)
    }


class ReadersTest(unittest.TestCase):
    """The decoded values, and who reads them."""

    def test_every_decoded_value_has_a_reader(self):
        # Guards against a signal that is decoded and then kept by nobody.
        read = list_read([PACKAGE])
        # Operators read the document back as they wrote it.
        read.add("document")
        decoded = list_decoded(ADAPTER)
        self.assertEqual(CARRIERS, decoded.keys())
        for carrier, fields in decoded.items():
            with self.subTest(carrier=carrier):
                self.assertEqual(set(), fields - read)

    def test_every_header_name_has_a_reader(self):
        # Stricter for headers: read as a header name, by the pass-through.
        decoded = list_decoded(ADAPTER)["HeaderNames"]
        read = {
            node.attr
            for path in (PACKAGE / "passthrough").rglob("*.py")
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute) and is_names(node.value)
        }
        self.assertEqual(set(), decoded - read)


def is_names(node):
    """Return whether an expression is the header names."""
    match node:
        case ast.Name(id="names") | ast.Attribute(attr="_names"):
            return True
    return False
