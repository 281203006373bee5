#!/bin/sh
# Checks the reviewer's stand-ins. They are plain Python and need the standard
# library only, so that nothing has to be built or installed.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, ".")
from standins import backend, case, client, machines, proxy, record, store, wire
'
