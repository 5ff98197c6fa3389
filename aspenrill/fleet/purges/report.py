"""How a process's purges stand: a plain record for the state file, and one bounded line for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .origin import Purge

if TYPE_CHECKING:
    from .part import Purges

MOST_PURGES = 64
MOST_SITES = 64
MOST_LINE = 400  # characters


def report(part: Purges, now: float) -> dict[str, Any]:
    """Seconds since each purge was accepted, by site, and what still waits."""
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
        "open": [_purge(part, purge) for purge in list(origin.out.values())[:MOST_PURGES]],
        "complete": [_purge(part, purge) for purge in origin.past],
    }
    if coordinating:
        holders, late, names = part.posts[3].missing()
        found["leases"] = {
            "holders": holders,
            "not_clear": late,
            "first": names,
            "clear_to": part.posts[3].cleared,
        }
    return found


def _purge(part: Purges, purge: Purge) -> dict[str, Any]:
    def since(when: float | None) -> float | None:
        return round(when - purge.began, 3) if when is not None else None

    open_ = purge.complete is None
    waits = {}
    for name, site in list(part.origin.sites.items())[:MOST_SITES] if open_ else ():
        if name not in purge.acknowledged:
            waits[name] = {"members": site.total, "done": site.done, "first": list(site.missing)}
    return {
        "id": f"{part.origin.name}/{purge.item[0]}/{purge.item[1]}",
        "what": purge.item[2],
        "why": purge.why,
        "state": state(purge),
        "on_disk": purge.durable,
        "agreed_s": since(purge.agreed),
        "acknowledged_s": since(purge.everywhere),
        "complete_s": since(purge.complete),
        "sites": {name: since(when) for name, when in list(purge.acknowledged.items())[:MOST_SITES]},
        "waits": waits,
    }


def state(purge: Purge) -> str:
    """The furthest that it has come."""
    if purge.complete is not None:
        return "complete"
    if purge.agreed is not None:
        return "agreed, not complete"
    return "acknowledged, not complete" if purge.everywhere is not None else "accepted, not complete"


def line(found: dict[str, Any]) -> str:
    """One line for the log, of what is not complete."""
    if not found["open"]:
        return f"purges: none open, {len(found['complete'])} complete"
    oldest = found["open"][0]
    waits = "; ".join(
        f"{name or 'site'}: {site['done']} of {site['members']}, first {', '.join(site['first']) or '-'}"
        for name, site in oldest["waits"].items()
    )
    text = f"purges: {len(found['open'])} open; {oldest['id']} ({oldest['what']}) {oldest['state']}"
    return (text + (f"; waits for {waits}" if waits else ""))[:MOST_LINE]
