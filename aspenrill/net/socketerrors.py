"""Error numbers of socket calls, by what they say about the connection."""

from __future__ import annotations

import errno

NO_MEMORY_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)  # transient; the connection is unaffected
UNREACHABLE_ERRNOS = (  # the path is down: transient unless the kernel has given up the connection
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EPROTO,
    errno.ENOPROTOOPT,
)
