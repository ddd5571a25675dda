#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption, RESTART=0 only the killed front machine.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 "$here/case.py"
