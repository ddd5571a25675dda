"""Tests of the service container."""

import asyncio
import unittest

from burdockdrum.kernel import Kernel
from burdockdrum.kernel import ServiceError


class RecordingService:
    """A service that records when it is run and closed."""

    def __init__(self) -> None:
        self.log: list[str] = []

    async def run(self) -> None:
        self.log.append("run")
        await asyncio.Event().wait()

    async def close(self) -> None:
        self.log.append("close")


class KernelTest(unittest.IsolatedAsyncioTestCase):
    """Registration, lookup and life cycle of services."""

    def test_service_is_built_once_on_demand(self):
        kernel = Kernel()
        kernel.add("number", lambda kernel: kernel.find("base", int) + 1)
        kernel.provide("base", 41)
        self.assertEqual(42, kernel.find("number", int))
        self.assertEqual(42, kernel.find("number", int))

    def test_missing_service_is_named_in_the_error(self):
        with self.assertRaisesRegex(ServiceError, "'clock'"):
            Kernel().find("clock", object)

    def test_circular_dependency_is_named_in_the_error(self):
        kernel = Kernel()
        kernel.add("a", lambda kernel: kernel.find("b", object))
        kernel.add("b", lambda kernel: kernel.find("a", object))
        with self.assertRaisesRegex(ServiceError, "a -> b -> a"):
            kernel.find("a", object)

    def test_unexpected_type_is_an_error(self):
        kernel = Kernel()
        kernel.provide("base", 41)
        with self.assertRaisesRegex(ServiceError, "int, not a str"):
            kernel.find("base", str)

    async def test_services_are_run_and_closed(self):
        kernel = Kernel()
        service = RecordingService()
        kernel.provide("ticker", service)
        task = asyncio.create_task(kernel.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(["run", "close"], service.log)
