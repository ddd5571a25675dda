"""A container of services by name, and the supervision of their tasks."""

from burdockdrum.kernel.kernel import Kernel
from burdockdrum.kernel.kernel import ServiceError
from burdockdrum.kernel.supervisor import Supervisor

__all__ = ["Kernel", "ServiceError", "Supervisor"]
