"""The commands of the command-line tool."""

import pathlib
import secrets
import sys
import tomllib
from typing import Any

import msgspec

from burdockdrum.cli.exit_codes import EXIT_CONFLICT
from burdockdrum.cli.exit_codes import EXIT_FILE
from burdockdrum.cli.exit_codes import EXIT_MAY_HAVE_RUN
from burdockdrum.cli.exit_codes import EXIT_NOT_RUN
from burdockdrum.cli.output import format_event
from burdockdrum.cli.output import format_table
from burdockdrum.client import ClientError
from burdockdrum.client import GatewayClient
from burdockdrum.client import GatewayReply
from burdockdrum.ports import read_whole
from burdockdrum.settings import load_settings
from burdockdrum.settings import SettingsError
from burdockdrum.timeline import Event
from burdockdrum.timeline import merge

CHAT_PATH = "/v1/chat/completions"
MEMBERS_PATH = "/v1/control/members"
_CONFLICT_STATUS = 409
_NOT_RUN = "not run"
_MAY_HAVE_RUN = "may have run"


def run_check(path: str, *, as_json: bool) -> int:
    """Check a settings file and print every problem."""
    problems: list[str] = []
    try:
        load_settings(pathlib.Path(path))
    except SettingsError as error:
        problems = [str(problem) for problem in error.problems]
    if as_json:
        print(msgspec.json.encode({"problems": problems}).decode())
    else:
        print("\n".join(problems) or "the settings are good")
    return EXIT_FILE if problems else 0


class Commands:
    """The commands that call the gateway; each returns an exit code."""

    def __init__(self, *, client: GatewayClient, as_json: bool) -> None:
        """Create the commands for a client."""
        self._client = client
        self._as_json = as_json

    async def apply(self, path: str) -> int:
        """Put every resource of a TOML file, in the file's order."""
        try:
            resources = _read_resources(path)
        except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
            print(f"{path}: {error!r}", file=sys.stderr)
            return EXIT_FILE
        for resource in resources:
            code = await self._apply_resource(resource)
            if code != 0:
                return code
        return 0

    async def get(self, kind: str, name: str) -> int:
        """Show a resource, its desired state and its status."""
        reply = await self._client.call("GET", _resource_path(kind, name))
        return self._print_reply(reply)

    async def show_list(self, kind: str) -> int:
        """List the resources of a kind."""
        reply = await self._client.call("GET", f"/v1/resources/{kind}")
        if self._as_json or not reply.ok:
            return self._print_reply(reply)
        rows = [
            [
                view["resource"]["name"],
                str(view["resource"]["version"]),
                str(len(view["status"]["in_force_at"])),
                str(len(view["status"]["not_in_force_at"])),
            ]
            for view in msgspec.json.decode(reply.body)
        ]
        print(format_table(["NAME", "VERSION", "IN FORCE", "NOT YET"], rows))
        return 0

    async def watch(self) -> int:
        """Print each change until interrupted."""
        async for part in self._client.stream("GET", "/v1/watch"):
            for line in part.decode().splitlines():
                if line.startswith("data: "):
                    print(line.removeprefix("data: "), flush=True)
        return 0

    async def delete(self, kind: str, name: str) -> int:
        """Delete a resource at its current version."""
        version = await self._read_version(kind, name)
        body = {
            "resource_version": version,
            "change_id": secrets.token_hex(16),
        }
        reply = await self._client.call(
            "DELETE",
            _resource_path(kind, name),
            body=msgspec.json.encode(body),
        )
        return self._print_reply(reply)

    async def show_status(self) -> int:
        """Show one VM's view of the deployment."""
        return self._print_reply(await self._client.call("GET", "/v1/status"))

    async def show_entries(self) -> int:
        """List the entry VMs to use."""
        reply = await self._client.call("GET", "/v1/entries")
        if self._as_json or not reply.ok:
            return self._print_reply(reply)
        entries = await self._client.fetch_entries()
        rows = [
            [e.vm_id, e.url, e.region, e.data_centre, str(e.weight)]
            for e in entries
        ]
        header = ["VM", "URL", "REGION", "DATA CENTRE", "WEIGHT"]
        print(format_table(header, rows))
        return 0

    async def show_endpoints(self) -> int:
        """List the endpoints that one VM knows."""
        reply = await self._client.call("GET", "/v1/endpoints")
        if self._as_json or not reply.ok:
            return self._print_reply(reply)
        rows = [
            [
                endpoint["endpoint_id"],
                endpoint["service"],
                f"{endpoint['running']}/{endpoint['slots']}",
                "leaving" if endpoint["leaving"] else "live",
                endpoint["url"],
            ]
            for endpoint in msgspec.json.decode(reply.body)
        ]
        header = ["ENDPOINT", "SERVICE", "RUNNING", "STATE", "URL"]
        print(format_table(header, rows))
        return 0

    async def send(self, arguments: dict[str, Any]) -> int:
        """Send a chat completion request and print the answer."""
        body = msgspec.json.encode(
            {
                "model": arguments["MODEL"],
                "messages": [{"role": "user", "content": arguments["PROMPT"]}],
                "max_tokens": int(arguments["--max-tokens"]),
                "stream": arguments["--stream"],
            }
        )
        headers = _request_headers(arguments)
        if arguments["--stream"]:
            return await self._send_stream(body, headers)
        reply = await self._client.call(
            "POST",
            CHAT_PATH,
            body=body,
            headers=headers,
            repeatable=not arguments["--unrepeatable"],
        )
        if self._as_json or not reply.ok:
            return self._print_reply(reply)
        answer = msgspec.json.decode(reply.body)
        print(answer["choices"][0]["message"]["content"])
        return 0

    async def drain(self, entry: str) -> int:
        """Drain one VM: it finishes its requests and exits."""
        return await self._call_named_vm(entry, "POST", "/v1/drain")

    async def show_members(self, entry: str) -> int:
        """Show the control VMs as seen by one of them."""
        return await self._call_named_vm(entry, "GET", MEMBERS_PATH)

    async def add_member(
        self, entry: str, vm_id: str, address: str, disk_id: str
    ) -> int:
        """Add a control VM, which votes once its log has caught up."""
        body = msgspec.json.encode({"address": address, "disk_id": disk_id})
        path = f"{MEMBERS_PATH}/{vm_id}"
        return await self._call_named_vm(entry, "PUT", path, body)

    async def remove_member(self, entry: str, vm_id: str) -> int:
        """Remove a control VM."""
        path = f"{MEMBERS_PATH}/{vm_id}"
        return await self._call_named_vm(entry, "DELETE", path)

    async def show_quarantine(self) -> int:
        """Show the requests suspected of crashing endpoints."""
        reply = await self._client.call("GET", "/v1/quarantine")
        return self._print_reply(reply)

    async def lift(self, fingerprint: str) -> int:
        """Release a request from quarantine."""
        path = f"/v1/quarantine/{fingerprint}"
        return self._print_reply(await self._client.call("DELETE", path))

    async def _call_named_vm(
        self, entry: str, method: str, path: str, body: bytes = b""
    ) -> int:
        """Call a given VM, without failover to another."""
        answer = await self._client.open(entry, method, path, body)
        reply = GatewayReply(
            status=answer.status,
            headers=answer.headers,
            body=await read_whole(answer),
            entry=entry,
        )
        return self._print_reply(reply)

    async def show_timeline(self, arguments: dict[str, Any]) -> int:
        """Show the merged timeline of all entry VMs."""
        query = [
            f"{name}={value}"
            for name, value in (
                ("prefix", arguments["--prefix"]),
                ("request_id", arguments["--request"]),
                ("revision", arguments["--revision"]),
            )
            if value
        ]
        path = "/v1/timeline?" + "&".join(query)
        events: list[Event] = []
        for entry in await self._client.fetch_entries():
            events += await self._fetch_events(entry.url, path)
        for event in merge(events):
            if self._as_json:
                print(msgspec.json.encode(event).decode())
            else:
                print(format_event(event))
        return 0

    async def _fetch_events(self, entry: str, path: str) -> list[Event]:
        answer = await self._client.open(entry, "GET", path)
        body = await read_whole(answer)
        if answer.status != 200:
            print(f"{entry}: {body.decode()}", file=sys.stderr)
            return []
        return msgspec.json.decode(body, type=list[Event])

    async def _send_stream(self, body: bytes, headers: dict[str, str]) -> int:
        buffer = b""
        complete = False
        parts = self._client.stream(
            "POST", CHAT_PATH, body=body, headers=headers
        )
        try:
            async for part in parts:
                buffer += part
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    complete = self._print_event_line(line) or complete
        except ClientError as error:
            print(f"\nthe answer is incomplete: {error}", file=sys.stderr)
            return EXIT_MAY_HAVE_RUN
        print(buffer.decode())
        if complete:
            return 0
        is_not_run = _NOT_RUN.encode() in buffer
        return EXIT_NOT_RUN if is_not_run else EXIT_MAY_HAVE_RUN

    def _print_event_line(self, line: bytes) -> bool:
        if line == b"data: [DONE]":
            return True
        if line.startswith(b"data: "):
            data = line.removeprefix(b"data: ")
            if self._as_json:
                print(data.decode(), flush=True)
                return False
            event = msgspec.json.decode(data)
            for choice in event.get("choices", []):
                text = choice.get("delta", {}).get("content", "")
                print(text, end="", flush=True)
        return False

    async def _apply_resource(self, resource: dict[str, Any]) -> int:
        kind, name = resource.pop("kind"), resource.pop("name")
        version = resource.pop("version", None)
        if version is None:
            version = await self._read_version(kind, name)
        body = {
            "spec": resource,
            "resource_version": version,
            "change_id": secrets.token_hex(16),
        }
        reply = await self._client.call(
            "PUT", _resource_path(kind, name), body=msgspec.json.encode(body)
        )
        return self._print_reply(reply)

    async def _read_version(self, kind: str, name: str) -> int:
        reply = await self._client.call("GET", _resource_path(kind, name))
        if not reply.ok:
            return 0
        version: int = msgspec.json.decode(reply.body)["resource"]["version"]
        return version

    def _print_reply(self, reply: GatewayReply) -> int:
        if self._as_json:
            print(reply.body.decode())
        else:
            formatted = msgspec.json.format(
                reply.body or b"{}", indent=2
            ).decode()
            print(formatted, file=sys.stdout if reply.ok else sys.stderr)
        if reply.ok:
            return 0
        if reply.status == _CONFLICT_STATUS:
            return EXIT_CONFLICT
        if _MAY_HAVE_RUN.encode() in reply.body or reply.status >= 500:
            is_not_run = _NOT_RUN.encode() in reply.body
            return EXIT_NOT_RUN if is_not_run else EXIT_MAY_HAVE_RUN
        return EXIT_NOT_RUN


def _read_resources(path: str) -> list[dict[str, Any]]:
    fields = tomllib.loads(pathlib.Path(path).read_text())
    resources: list[dict[str, Any]] = fields["resource"]
    return resources


def _resource_path(kind: str, name: str) -> str:
    return f"/v1/resources/{kind}/{name}"


def _request_headers(arguments: dict[str, Any]) -> dict[str, str]:
    headers = {}
    if arguments["--key"]:
        headers["idempotency-key"] = arguments["--key"]
    if arguments["--unrepeatable"]:
        headers["x-unrepeatable"] = "true"
    if arguments["--deadline"]:
        headers["x-deadline-seconds"] = arguments["--deadline"]
    if arguments["--priority"]:
        headers["x-priority-class"] = arguments["--priority"]
    return headers
