"""What the exit codes mean, for scripts."""

EXIT_NOT_RUN = 1
EXIT_MAY_HAVE_RUN = 2
EXIT_CONFLICT = 3
EXIT_USAGE = 64
EXIT_NO_ENTRY = 69
EXIT_FILE = 78
