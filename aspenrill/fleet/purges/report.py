"""Report on the purges of a process: for the state file, and as one line of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .origin import Purge

if TYPE_CHECKING:
    from .part import Purges

MAX_PURGES = 64
MAX_SITES = 64
MAX_LINE = 400  # characters


def report(part: Purges, now: float) -> dict[str, Any]:
    """State of leases, cache and purges, with times in seconds since each purge was accepted."""
    origin, store = part.origin, part.store
    coordinating = part.authority.settled(now)
    found: dict[str, Any] = {
        "process": origin.name,
        "incarnation": origin.incarnation,
        "serves_kept": store.serves(now),
        "lease_s": round(max(0.0, store.lease_end - now), 3),
        "kept": {
            "answers": len(store.answers),
            "bytes": store.bytes,
            "hits": store.hits,
            "misses": store.misses,
            "outdated": store.outdated,
        },
        "serial": part.seen,
        "coordinating": coordinating,
        "open": [_purge(part, purge) for purge in list(origin.incomplete.values())[:MAX_PURGES]],
        "complete": [_purge(part, purge) for purge in origin.completed],
    }
    if coordinating:
        holders, not_clear, names = part.lease_nodes[3].not_clear_summary()
        found["leases"] = {
            "holders": holders,
            "not_clear": not_clear,
            "first": names,
            "clear_to": part.lease_nodes[3].cleared,
        }
    return found


def _purge(part: Purges, purge: Purge) -> dict[str, Any]:
    def since(when: float | None) -> float | None:
        return round(when - purge.began_at, 3) if when is not None else None

    incomplete = purge.completed_at is None
    waits = {}
    for name, site in list(part.origin.sites.items())[:MAX_SITES] if incomplete else ():
        if name not in purge.acknowledged:
            waits[name] = {"members": site.total, "done": site.done, "first": list(site.missing)}
    return {
        "id": f"{part.origin.name}/{purge.item[0]}/{purge.item[1]}",
        "what": purge.item[2],
        "why": purge.reason,
        "state": state(purge),
        "on_disk": purge.durable,
        "agreed_s": since(purge.agreed_at),
        "acknowledged_s": since(purge.acknowledged_at),
        "complete_s": since(purge.completed_at),
        "sites": {name: since(when) for name, when in list(purge.acknowledged.items())[:MAX_SITES]},
        "waits": waits,
    }


def state(purge: Purge) -> str:
    """The latest state that a purge has reached."""
    if purge.completed_at is not None:
        return "complete"
    if purge.agreed_at is not None:
        return "agreed, not complete"
    return "acknowledged, not complete" if purge.acknowledged_at is not None else "accepted, not complete"


def log_line(found: dict[str, Any]) -> str:
    """Log line on incomplete purges."""
    if not found["open"]:
        return f"purges: none open, {len(found['complete'])} complete"
    oldest = found["open"][0]
    waits = "; ".join(
        f"{name or 'site'}: {site['done']} of {site['members']}, first {', '.join(site['first']) or '-'}"
        for name, site in oldest["waits"].items()
    )
    text = f"purges: {len(found['open'])} open; {oldest['id']} ({oldest['what']}) {oldest['state']}"
    return (text + (f"; waits for {waits}" if waits else ""))[:MAX_LINE]
