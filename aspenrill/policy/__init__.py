"""The decision module, a file for each concern; aspenrill/control.py puts them together."""

from .admission import Admission
from .choice import Choice
from .outcomes import Outcomes
from .sending import Sending
from .view import View

__all__ = ["Admission", "Choice", "Outcomes", "Sending", "View"]
