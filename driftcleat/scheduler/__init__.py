"""The scheduler: makes all scheduling decisions of one leader term, without I/O."""

from driftcleat.scheduler.eligibility import unschedulable_reason
from driftcleat.scheduler.pending_requests import PendingRequest
from driftcleat.scheduler.scale_out import ScaleOutRequest
from driftcleat.scheduler.scheduler import Scheduler

__all__ = ["PendingRequest", "ScaleOutRequest", "Scheduler", "unschedulable_reason"]
