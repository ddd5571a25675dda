"""A dependency-injection container that looks up services by name."""

from burdockdrum.kernel.kernel import Kernel
from burdockdrum.kernel.kernel import ServiceError

__all__ = ["Kernel", "ServiceError"]
