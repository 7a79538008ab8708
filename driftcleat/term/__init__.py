"""One term of leadership: all that a leader decides, without any I/O."""

from .admission import Ticket
from .eligibility import never_fits
from .rentals import OpenRental
from .term import Term

__all__ = ["OpenRental", "Term", "Ticket", "never_fits"]
