"""A simulated operator, which sets up resources and changes them."""

import asyncio
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from burdockdrum.histories import ChangeAccepted
from burdockdrum.histories import HOME_CLIENT_PREFIX
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.resources import hash_token

if TYPE_CHECKING:
    from tests.histories.world import World

HOST = "alfold-operator"
SET_UP_ATTEMPTS = 40
CHANGES = 10
TIMEOUT_SECONDS = 8.0


class Operator:
    """Writes resources, and retries a change that got no response."""

    def __init__(self, *, world: "World") -> None:
        """Create an operator."""
        self._world = world

    async def set_up(self) -> None:
        """Create the regions, data centres, services and clients."""
        regions = ["dunantul", "alfold", "eszak"]
        for region in regions:
            await self._put_with_retries("region", region, {})
            spec = {"region": region}
            await self._put_with_retries("data_centre", region, spec)
        await self._put_with_retries(
            "service", "planner", {"regions": regions}
        )
        plain = {"type": "plain", "regions": regions}
        await self._put_with_retries("service", "booking", plain)
        for index, region in enumerate(regions):
            other = regions[(index + 1) % len(regions)]
            home = HOME_CLIENT_PREFIX + region
            await self._put_client(home, region, [region, other])
            await self._put_client(f"bound-{region}", region, [region])

    async def make_changes(self) -> None:
        """Change priority classes at random times over random VMs."""
        rng = random.Random(self._world.rng.random())
        for number in range(CHANGES):
            await asyncio.sleep(
                rng.uniform(0, 2 * self._world.seconds / CHANGES)
            )
            name = f"class-{rng.randrange(3)}"
            spec = {"rank": number, "worth": float(number)}
            await self._put_priority_class(rng, name, spec, f"change-{number}")

    async def _put_priority_class(
        self, rng: random.Random, name: str, spec: dict, change_id: str
    ) -> None:
        version = 0
        for _ in range(6):
            body = {
                "spec": spec,
                "resource_version": version,
                "change_id": f"{change_id}-{version}",
            }
            entry = rng.choice(self._world.vm_ids)
            reply = await self._call(
                entry, "PUT", f"priority_class/{name}", body
            )
            if reply is None or reply[0] >= 500:
                await asyncio.sleep(0.5)
                continue
            status, fields = reply
            if status == 409:
                version = (fields.get("current") or {}).get("version", 0)
                continue
            if status == 200:
                value = msgspec.json.encode(fields["current"]["spec"])
                self._world.history.accepted.append(
                    ChangeAccepted(
                        time=self._world.now(),
                        revision=fields["current"]["version"],
                        kind="priority_class",
                        name=name,
                        value=value.decode(),
                    )
                )
            return

    async def _put_client(
        self, name: str, home: str, residency: list[str]
    ) -> None:
        spec = {
            "home_region": home,
            "residency": residency,
            "token_hashes": [hash_token(name)],
        }
        await self._put_with_retries("client", name, spec)
        residencies = self._world.history.residency_by_client
        residencies[name] = frozenset(residency)

    async def _put_with_retries(
        self, kind: str, name: str, spec: dict
    ) -> None:
        body = {"spec": spec, "change_id": f"set-up-{kind}-{name}"}
        for attempt in range(SET_UP_ATTEMPTS):
            entry = self._world.vm_ids[attempt % 6]
            reply = await self._call(entry, "PUT", f"{kind}/{name}", body)
            if reply is not None and reply[0] == 200:
                return
            await asyncio.sleep(0.5)
        raise AssertionError(f"{kind} {name} was not accepted: {reply}")

    async def _call(
        self, entry: str, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]] | None:
        call = UpstreamCall(
            method=method,
            url=f"{self._world.entry_url(entry)}/v1/resources/{path}",
            headers={
                "authorization": "Bearer operator",
                "content-type": "application/json",
            },
            body=msgspec.json.encode(body),
            head_timeout=TIMEOUT_SECONDS,
        )
        try:
            answer = await self._world.cluster.client(HOST).open(call)
            body = await read_whole(answer)
        except (ConnectFailed, AnswerLost):
            return None
        return answer.status, msgspec.json.decode(body)
