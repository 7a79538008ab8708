"""The scheduler: all decisions of one leader term, without any I/O."""

from driftcleat.scheduler.admission import PendingRequest
from driftcleat.scheduler.eligibility import never_fits
from driftcleat.scheduler.scale_out import ScaleOutRequest
from driftcleat.scheduler.scheduler import Scheduler

__all__ = ["PendingRequest", "ScaleOutRequest", "Scheduler", "never_fits"]
