"""The parts of the decision module, one concern to a file; aspenrill/control.py combines them."""

from .admission import Admission
from .choice import Choice
from .outcomes import Outcomes
from .sending import Sending
from .view import View

__all__ = ["Admission", "Choice", "Outcomes", "Sending", "View"]
