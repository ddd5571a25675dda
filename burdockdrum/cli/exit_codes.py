"""The exit codes of the command-line tool."""

EXIT_NOT_RUN = 1
EXIT_MAY_HAVE_RUN = 2
EXIT_CONFLICT = 3
EXIT_NOT_FOUND = 4
EXIT_USAGE = 64
EXIT_NO_ENTRY = 69
EXIT_FILE = 78
