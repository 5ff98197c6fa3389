"""Coordinator election by majority leases, and a replicated log stored by a majority of the voters.

Design: docs/design/together-authority.md.
"""

from .part import NAME, AuthorityComponent
from .rules import Rules

__all__ = ["NAME", "AuthorityComponent", "Rules"]
