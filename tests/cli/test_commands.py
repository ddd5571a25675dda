"""Tests of the command-line tool against simulated VMs."""

import asyncio
import contextlib
import io
import pathlib
import re
import tempfile
import unittest

from docopt import docopt
import msgspec

import burdockdrum.cli.__main__ as cli
from burdockdrum.cli.commands import Commands
from burdockdrum.cli.commands import run_check
from burdockdrum.cli.exit_codes import EXIT_CONFLICT
from burdockdrum.cli.exit_codes import EXIT_FILE
from burdockdrum.cli.exit_codes import EXIT_NOT_RUN
from burdockdrum.testing import run_virtual
from burdockdrum.testing.vms import FakeCluster
from tests.daemon.test_whole_path import connect
from tests.daemon.test_whole_path import make_settings

RESOURCES = """
[[resource]]
kind = "region"
name = "north"

[[resource]]
kind = "service"
name = "planner"
regions = ["north"]
"""


class CommandTest(unittest.TestCase):
    """The output and the exit codes of commands."""

    def run_commands(self, scenario, *, token="operator", as_json=True):
        """Run a scenario with the commands; return its result and output."""

        async def main():
            cluster = FakeCluster(seed=1)
            await cluster.start_vm(make_settings("a", "north", 1))
            await asyncio.sleep(6)
            client = connect(cluster, token)
            result = await scenario(Commands(client=client, as_json=as_json))
            await cluster.stop()
            return result

        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            result = run_virtual(main())
        return result, output.getvalue()

    def write(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "file.toml"
        path.write_text(text)
        return str(path)

    def test_apply_then_list_then_apply_again(self):
        path = self.write(RESOURCES)

        async def scenario(commands):
            codes = [await commands.apply(path), await commands.apply(path)]
            await asyncio.sleep(3)
            return [*codes, await commands.show_list("service")]

        codes, output = self.run_commands(scenario)
        self.assertEqual([0, 0, 0], codes)
        views = msgspec.json.decode(output.splitlines()[-1])
        self.assertEqual("planner", views[0]["resource"]["name"])

    def test_apply_of_an_old_version_is_a_conflict(self):
        path = self.write(RESOURCES)
        old = RESOURCES.replace('"north"\n', '"north"\nversion = 0\n', 1)
        stale = self.write(old)

        async def scenario(commands):
            await commands.apply(path)
            return await commands.apply(stale)

        code, output = self.run_commands(scenario)
        self.assertEqual(EXIT_CONFLICT, code)
        self.assertIn('"conflict"', output)

    def test_misspelt_field_is_named_in_the_error(self):
        path = self.write(RESOURCES.replace("regions", "regoins"))
        code, output = self.run_commands(lambda c: c.apply(path))
        self.assertEqual(EXIT_NOT_RUN, code)
        self.assertIn("regoins", output)

    def test_dangling_reference_is_named_in_the_error(self):
        path = self.write(RESOURCES.replace('["north"]', '["south"]'))
        code, output = self.run_commands(lambda c: c.apply(path))
        self.assertNotEqual(0, code)
        self.assertIn("spec.regions[0]: there is no region 'south'", output)

    def test_deletion_of_a_used_resource_is_not_run(self):
        path = self.write(RESOURCES)

        async def scenario(commands):
            await commands.apply(path)
            await asyncio.sleep(3)
            return await commands.delete("region", "north")

        code, output = self.run_commands(scenario)
        self.assertEqual(EXIT_NOT_RUN, code)
        self.assertIn("is used by service 'planner'", output)

    def test_missing_resource_is_refused(self):
        code, output = self.run_commands(lambda c: c.get("region", "x"))
        self.assertEqual(EXIT_NOT_RUN, code)
        self.assertIn("there is no region 'x'", output)

    def test_wrong_token_is_refused(self):
        code, output = self.run_commands(
            lambda c: c.show_list("region"), token="another client's"
        )
        self.assertEqual(EXIT_NOT_RUN, code)
        self.assertIn("unauthenticated", output)

    def test_tables_are_aligned(self):
        path = self.write(RESOURCES)

        async def scenario(commands):
            await commands.apply(path)
            await asyncio.sleep(3)
            return await commands.show_entries()

        code, output = self.run_commands(scenario, as_json=False)
        self.assertEqual(0, code)
        header, row = output.splitlines()[-2:]
        self.assertEqual(header.index("URL"), row.index("http://"))

    def test_timeline_shows_an_applied_change(self):
        path = self.write(RESOURCES)
        arguments = {"--prefix": "configuration.in_force"}
        arguments |= {"--request": None, "--revision": None}

        async def scenario(commands):
            await commands.apply(path)
            await asyncio.sleep(3)
            return await commands.show_timeline(arguments)

        code, output = self.run_commands(scenario, as_json=False)
        self.assertEqual(0, code)
        self.assertIn("a configuration.in_force revision 2", output)


class UsageTest(unittest.TestCase):
    """The usage text."""

    def test_each_usage_line_accepts_json(self):
        usage = cli.__doc__.split("Usage:")[1].split("\n\n")[0]
        usage = re.sub(r"\n {4,}", " ", usage)
        lines = [
            line.split("burdockdrum [options] ")[1]
            for line in usage.splitlines()
            if "[options]" in line
        ]
        self.assertEqual(18, len(lines))
        for line in lines:
            words = re.sub(r"\[.*?\]", "", line).split()
            parsed = docopt(cli.__doc__, argv=["--json", *words])
            self.assertTrue(parsed["--json"], line)
            self.assertTrue(parsed[words[0]], line)


class CheckTest(unittest.TestCase):
    """The check command."""

    def test_missing_file_has_its_own_exit_code(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run_check("/nowhere/at/all.toml", as_json=True)
        self.assertEqual(EXIT_FILE, code)
        [problem] = msgspec.json.decode(output.getvalue())["problems"]
        self.assertIn("can't read", problem)
