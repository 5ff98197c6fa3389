"""Which addresses engines may have: sets of networks, IPv4 and IPv6, by netaddr."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from ..net.address import canonical_host

NEVER = ("0.0.0.0/8", "224.0.0.0/4", "255.255.255.255/32", "::/128", "ff00::/8")  # no engine can listen there
REMEMBERED = 4096


def networks(texts: Sequence[str]) -> list[IPNetwork]:
    """Networks as written; ValueError names one that cannot be read."""
    found = []
    for text in texts:
        try:
            network = IPNetwork(text)
        except (AddrFormatError, ValueError, TypeError):
            raise ValueError(f"{text!r} is not a network such as 10.0.0.0/8 or fd00::/8") from None
        if network.ip != network.network:
            raise ValueError(f"{text!r} has bits beyond its prefix; {network.cidr} is meant")
        found.append(network)
    return found


class AddressPolicy:
    """`allows` an address that is in the allow set, if there is one, and in no deny set."""

    def __init__(self, allow: Sequence[str] = (), deny: Sequence[str] = ()) -> None:
        self.allow = IPSet(networks(allow)) if allow else None
        self.deny = IPSet([*networks(deny), *networks(NEVER)])
        self._known: OrderedDict[str, bool] = OrderedDict()

    def allows(self, host: str) -> bool:
        """Whether an engine may be at this numeric address."""
        found = self._known.get(host)
        if found is None:
            try:
                address = IPAddress(canonical_host(host))  # or a deny set would be passed by in IPv6 clothes
            except (AddrFormatError, ValueError):
                return False
            found = self._known[host] = (self.allow is None or address in self.allow) and (
                address not in self.deny
            )
            if len(self._known) > REMEMBERED:
                self._known.popitem(last=False)
        return found
