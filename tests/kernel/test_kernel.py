"""Tests of the service registry."""

import asyncio
import unittest

from burdockdrum.kernel import Kernel
from burdockdrum.kernel import ServiceError


class Ticker:
    """A service that counts its starts and its ends."""

    def __init__(self) -> None:
        self.log: list[str] = []

    async def run(self) -> None:
        self.log.append("run")
        await asyncio.Event().wait()

    async def close(self) -> None:
        self.log.append("close")


class KernelTest(unittest.IsolatedAsyncioTestCase):
    """Services find each other by name."""

    def test_builds_on_demand_and_once(self):
        kernel = Kernel()
        kernel.add("number", lambda kernel: kernel.find("base", int) + 1)
        kernel.provide("base", 41)
        self.assertEqual(42, kernel.find("number", int))
        self.assertEqual(42, kernel.find("number", int))

    def test_names_a_missing_service(self):
        with self.assertRaisesRegex(ServiceError, "'clock'"):
            Kernel().find("clock", object)

    def test_names_a_cycle(self):
        kernel = Kernel()
        kernel.add("a", lambda kernel: kernel.find("b", object))
        kernel.add("b", lambda kernel: kernel.find("a", object))
        with self.assertRaisesRegex(ServiceError, "a -> b -> a"):
            kernel.find("a", object)

    def test_refuses_another_type(self):
        kernel = Kernel()
        kernel.provide("base", 41)
        with self.assertRaisesRegex(ServiceError, "int, not a str"):
            kernel.find("base", str)

    async def test_runs_and_closes(self):
        kernel = Kernel()
        ticker = Ticker()
        kernel.provide("ticker", ticker)
        task = asyncio.create_task(kernel.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(["run", "close"], ticker.log)
