#!/bin/sh
# The stand-ins of the scripts are Python files that need the standard library only; the
# project's own stand-ins are not started.  Checks that all of them compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins
