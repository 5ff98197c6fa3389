"""The tool: `write`, `check`, `sources` and `records`, each for one application's file."""

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
from . import sources as gathered
from .template import TEMPLATE

TTL = 120


def write(args: argparse.Namespace) -> int:
    """A new file with every field and what it means; an existing one is left alone."""
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}", args.name):
        print("name: letters, digits, - and _ are wanted, 63 at most", file=sys.stderr)
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
        print(f"{args.file}: is there already; --force overwrites it", file=sys.stderr)
        return 1
    except OSError as why:
        print(f"{args.file}: {why.strerror}", file=sys.stderr)
        return 1
    print(f"{args.file}: written; look it over, then: python -m aspenrill.tool check {args.file}")
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
    """Every fault by its field, and 1; or one line that the file is good, and 0."""
    found = _load(args.file)
    if found is None:
        return 1
    print(
        f"{args.file}: good; {found.name} listens on {format_address(found.listen)}, "
        f"{len(found.classes)} classes, {len(found.logins)} logins, engines from {found.source}"
        + ("" if found.enabled else "; not enabled")
    )
    return 0


def records(args: argparse.Namespace) -> int:
    """The application's own DNS-SD records, as lines for a zone file."""
    found = _load(args.file)
    if found is None:
        return 1
    service = dns.parse_name(f"_tds._tcp.{found.domain}")
    host = dns.parse_name(found.instance_host or f"{found.name}.{found.domain}")
    name, instance = dns.format_name(service), dns.format_name((found.name, *service))
    print(f"{name} {TTL} IN PTR {instance}")
    print(f"{instance} {TTL} IN SRV 0 0 {found.listen[1]} {dns.format_name(host)}")
    print(f'{instance} {TTL} IN TXT "txtvers=1" "app={found.name}"')
    kind = "AAAA" if family_of(found.listen[0]) == socket.AF_INET6 else "A"
    print(f"{dns.format_name(host)} {TTL} IN {kind} {found.listen[0]}")
    return 0


def sources(args: argparse.Namespace) -> int:
    """What each source says now, the merged list, and why each engine is in or out."""
    found = _load(args.file)
    return 1 if found is None else gathered.run(args, found)


def main(words: Sequence[str] | None = None) -> int:
    """Run one command."""
    parser = argparse.ArgumentParser(prog="python -m aspenrill.tool", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    one = commands.add_parser("write", help="write a new, commented file")
    one.add_argument("file")
    one.add_argument("--name", default="billing", help="the application's name (default: billing)")
    one.add_argument(
        "--listen",
        default="127.0.0.1:1433",
        metavar="ADDRESS:PORT",
        help="where its clients connect (default: 127.0.0.1:1433)",
    )
    one.add_argument("--force", action="store_true", help="overwrite the file")
    one.set_defaults(run=write)
    for name, run, text in (
        ("check", check, "name every fault of a file"),
        ("records", records, "print the application's DNS-SD records"),
    ):
        one = commands.add_parser(name, help=text)
        one.add_argument("file")
        one.set_defaults(run=run)
    one = commands.add_parser("sources", help="ask all sources now, print the merged list and why")
    one.add_argument("file")
    one.add_argument("--seconds", type=float, default=10.0, help="how long to wait for them (default: 10)")
    one.add_argument("--json", action="store_true", help="print it as JSON")
    one.set_defaults(run=sources)
    args = parser.parse_args(words)
    return args.run(args)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        sys.exit(1)
