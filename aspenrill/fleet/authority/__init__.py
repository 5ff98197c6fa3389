"""One coordinator at a time, and a log that a majority of the voters holds.
docs/design/together-authority.md."""

from .part import NAME, AuthorityPart
from .rules import Rules

__all__ = ["NAME", "AuthorityPart", "Rules"]
