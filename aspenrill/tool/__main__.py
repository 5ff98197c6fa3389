"""Command-line tool for an application's file: `write`, `check`, `sources` and `records`."""

from __future__ import annotations

import argparse
import os
import re
import socket
import sys
from collections.abc import Sequence

from .. import application
from ..net.address import family_of, format_address
from ..wire import dns
from . import sources as source_report
from .template import TEMPLATE

RECORD_TTL = 120  # seconds


def write(args: argparse.Namespace) -> int:
    """Write a new file with every field and its meaning. An existing file is kept unless --force is given."""
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}", args.name):
        print("name: expected at most 63 letters, digits, - and _", file=sys.stderr)
        return 1
    text = TEMPLATE.replace("@NAME@", args.name).replace("@LISTEN@", args.listen)
    faults = application.read(text)[1]
    if faults:
        print("\n".join(faults), file=sys.stderr)
        return 1
    try:
        with open(args.file, "w" if args.force else "x", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        print(f"{args.file}: already exists; --force overwrites it", file=sys.stderr)
        return 1
    except OSError as why:
        print(f"{args.file}: {why.strerror}", file=sys.stderr)
        return 1
    print(f"{args.file}: written; edit it, then run: python -m aspenrill.tool check {args.file}")
    return 0


def _load(path: str) -> application.Application | None:
    try:
        with open(path, encoding="utf-8") as file:
            found, faults = application.read(file.read())
    except (OSError, UnicodeDecodeError) as why:
        found, faults = None, [f"file: {why}"]
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
    return found


def check(args: argparse.Namespace) -> int:
    """Print every fault by field and return 1, or a summary of a valid file and return 0."""
    found = _load(args.file)
    if found is None:
        return 1
    print(
        f"{args.file}: valid; {found.name} listens on {format_address(found.listen)}, "
        f"{len(found.classes)} classes, {len(found.logins)} logins, engines from {found.source}"
        + ("" if found.enabled else "; not enabled")
    )
    return 0


def records(args: argparse.Namespace) -> int:
    """Print the DNS-SD records of the application itself, as lines for a zone file."""
    found = _load(args.file)
    if found is None:
        return 1
    service = dns.parse_name(f"_tds._tcp.{found.domain}")
    host = dns.parse_name(found.dns_host or f"{found.name}.{found.domain}")
    name, instance = dns.format_name(service), dns.format_name((found.name, *service))
    print(f"{name} {RECORD_TTL} IN PTR {instance}")
    print(f"{instance} {RECORD_TTL} IN SRV 0 0 {found.listen[1]} {dns.format_name(host)}")
    print(f'{instance} {RECORD_TTL} IN TXT "txtvers=1" "app={found.name}"')
    kind = "AAAA" if family_of(found.listen[0]) == socket.AF_INET6 else "A"
    print(f"{dns.format_name(host)} {RECORD_TTL} IN {kind} {found.listen[0]}")
    return 0


def sources(args: argparse.Namespace) -> int:
    """Print the list of each source, the merged list, and why each engine is in or out."""
    found = _load(args.file)
    return 1 if found is None else source_report.run(args, found)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command in `arguments`, by default those of the process. Returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m aspenrill.tool", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    command = commands.add_parser("write", help="write a new, commented file")
    command.add_argument("file")
    command.add_argument("--name", default="billing", help="the application's name (default: billing)")
    command.add_argument(
        "--listen",
        default="127.0.0.1:1433",
        metavar="ADDRESS:PORT",
        help="where its clients connect (default: 127.0.0.1:1433)",
    )
    command.add_argument("--force", action="store_true", help="overwrite the file")
    command.set_defaults(run=write)
    for name, run, text in (
        ("check", check, "name every fault of a file"),
        ("records", records, "print the application's DNS-SD records"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("file")
        command.set_defaults(run=run)
    command = commands.add_parser("sources", help="ask all sources now, print the merged list and why")
    command.add_argument("file")
    command.add_argument(
        "--seconds", type=float, default=10.0, help="how long to wait for them (default: 10)"
    )
    command.add_argument("--json", action="store_true", help="print it as JSON")
    command.set_defaults(run=sources)
    args = parser.parse_args(arguments)
    return args.run(args)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        sys.exit(1)
