"""Allow and deny lists of IPv4 and IPv6 networks for engine addresses, built on netaddr."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from ..net.address import canonical_host

# Unspecified, multicast and broadcast addresses: no engine can listen there.
NON_HOST_NETWORKS = ("0.0.0.0/8", "224.0.0.0/4", "255.255.255.255/32", "::/128", "ff00::/8")
MAX_CACHED_DECISIONS = 4096  # hosts


def parse_networks(texts: Sequence[str]) -> list[IPNetwork]:
    """Parses networks in CIDR notation. Raises ValueError with the text that is invalid."""
    found = []
    for text in texts:
        try:
            network = IPNetwork(text)
        except (AddrFormatError, ValueError, TypeError):
            raise ValueError(f"{text!r} is not a network such as 10.0.0.0/8 or fd00::/8") from None
        if network.ip != network.network:
            raise ValueError(f"{text!r} has host bits set; use {network.cidr}")
        found.append(network)
    return found


class AddressPolicy:
    """Allows an address that is in the allow set, if there is one, and not in the deny set."""

    def __init__(self, allow: Sequence[str] = (), deny: Sequence[str] = ()) -> None:
        self.allow = IPSet(parse_networks(allow)) if allow else None
        self.deny = IPSet([*parse_networks(deny), *parse_networks(NON_HOST_NETWORKS)])
        self._decisions: OrderedDict[str, bool] = OrderedDict()

    def allows(self, host: str) -> bool:
        """Returns whether an engine may have this numeric address. Decisions are cached."""
        found = self._decisions.get(host)
        if found is None:
            try:
                address = IPAddress(
                    canonical_host(host)
                )  # an IPv4-mapped IPv6 address must not bypass the deny set
            except (AddrFormatError, ValueError):
                return False
            found = self._decisions[host] = (self.allow is None or address in self.allow) and (
                address not in self.deny
            )
            if len(self._decisions) > MAX_CACHED_DECISIONS:
                self._decisions.popitem(last=False)
        return found
