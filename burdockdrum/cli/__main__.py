"""Operate the gateway and send requests to it.

Usage:
  burdockdrum [options] apply FILE
  burdockdrum [options] get KIND NAME
  burdockdrum [options] list KIND
  burdockdrum [options] watch
  burdockdrum [options] delete KIND NAME
  burdockdrum [options] status
  burdockdrum [options] entries
  burdockdrum [options] endpoints
  burdockdrum [options] send MODEL PROMPT [--stream] [--max-tokens N]
              [--key KEY] [--unrepeatable] [--deadline S] [--priority CLASS]
  burdockdrum [options] drain
  burdockdrum [options] members
  burdockdrum [options] add-member VM ADDRESS DISK
  burdockdrum [options] remove-member VM
  burdockdrum [options] quarantine
  burdockdrum [options] lift FINGERPRINT
  burdockdrum [options] timeline [--prefix NAME] [--request ID]
              [--revision N]
  burdockdrum [options] check FILE
  burdockdrum [options] explain REQUEST LOG...
  burdockdrum make-token
  burdockdrum hash-token TOKEN
  burdockdrum (-h | --help)

Options:
  --entry URLS      Entry VMs to begin with, with commas between; else the
                    variable BURDOCKDRUM_ENTRIES.
  --token TOKEN     The bearer token; else the variable BURDOCKDRUM_TOKEN.
  --trust FILE      Certificates to trust for https, in PEM form.
  --json            Print JSON.
  --stream          Print tokens as they come.
  --max-tokens N    Tokens to generate at most [default: 64].
  --key KEY         The idempotency key.
  --unrepeatable    The request may run at most once; needs --key.
  --deadline S      Seconds the answer may take.
  --priority CLASS  The priority class.
  --prefix NAME     Events whose name starts so.
  --request ID      Events of one request.
  --revision N      Events of one revision.
  -h --help         Show this text.

Exit codes: 0 done; 1 refused, not run; 2 may have run; 3 conflict;
4 not found; 64 wrong command line; 69 no entry VM answers; 78 a file can't
be used.

Examples:
  burdockdrum apply resources.toml
  burdockdrum send planner "Draft a plan" --stream
  burdockdrum timeline --request req-0123
  burdockdrum check entry-1.toml
  burdockdrum explain 9c41d07be2a35f68 entry-1.log entry-2.log

"drain" and the commands about members go to the first VM that --entry names;
the latter has to be a control VM.
"""

import asyncio
import os
import secrets
import sys
from typing import Any

from docopt import docopt

from burdockdrum.cli.commands import Commands
from burdockdrum.cli.commands import run_check
from burdockdrum.cli.connection import connect
from burdockdrum.cli.exit_codes import EXIT_NO_ENTRY
from burdockdrum.cli.exit_codes import EXIT_USAGE
from burdockdrum.cli.explain import run_explain
from burdockdrum.client import ClientError
from burdockdrum.resources import hash_token


async def _run_command(arguments: dict[str, Any]) -> int:
    commands = Commands(client=connect(arguments), as_json=arguments["--json"])
    match arguments:
        case {"apply": True}:
            return await commands.apply(arguments["FILE"])
        case {"get": True}:
            return await commands.get(arguments["KIND"], arguments["NAME"])
        case {"list": True}:
            return await commands.show_list(arguments["KIND"])
        case {"watch": True}:
            return await commands.watch()
        case {"delete": True}:
            return await commands.delete(arguments["KIND"], arguments["NAME"])
        case {"status": True}:
            return await commands.show_status()
        case {"entries": True}:
            return await commands.show_entries()
        case {"endpoints": True}:
            return await commands.show_endpoints()
        case {"send": True}:
            return await commands.send(arguments)
        case {"quarantine": True}:
            return await commands.show_quarantine()
        case {"lift": True}:
            return await commands.lift(arguments["FINGERPRINT"])
        case {"timeline": True}:
            return await commands.show_timeline(arguments)
        case _:
            return await _run_on_named_vm(commands, arguments)


async def _run_on_named_vm(
    commands: Commands, arguments: dict[str, Any]
) -> int:
    entry = _parse_entry_urls(arguments)[0]
    match arguments:
        case {"members": True}:
            return await commands.show_members(entry)
        case {"add-member": True, "VM": vm_id}:
            return await commands.add_member(
                entry, vm_id, arguments["ADDRESS"], arguments["DISK"]
            )
        case {"remove-member": True, "VM": vm_id}:
            return await commands.remove_member(entry, vm_id)
        case _:
            return await commands.drain(entry)


def _parse_entry_urls(arguments: dict[str, Any]) -> list[str]:
    urls = arguments["--entry"] or os.environ.get("BURDOCKDRUM_ENTRIES", "")
    return [url for url in urls.split(",") if url]


def main() -> int:
    """Run one command.

    :returns: the exit code
    """
    arguments = docopt(__doc__)
    if arguments["make-token"]:
        print(secrets.token_urlsafe(32))
        return 0
    if arguments["hash-token"]:
        print(hash_token(arguments["TOKEN"]))
        return 0
    if arguments["check"]:
        return run_check(arguments["FILE"], as_json=arguments["--json"])
    if arguments["explain"]:
        return run_explain(
            arguments["REQUEST"], arguments["LOG"], as_json=arguments["--json"]
        )
    token = arguments["--token"] or os.environ.get("BURDOCKDRUM_TOKEN")
    if not _parse_entry_urls(arguments) or not token:
        print("name entry VMs and a token; see --help", file=sys.stderr)
        return EXIT_USAGE
    arguments["seeds"] = _parse_entry_urls(arguments)
    arguments["--token"] = token
    try:
        return asyncio.run(_run_command(arguments))
    except ClientError as error:
        print(f"no entry VM answered: {error}", file=sys.stderr)
        return EXIT_NO_ENTRY


if __name__ == "__main__":
    sys.exit(main())
