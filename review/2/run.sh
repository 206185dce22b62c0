#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 ../standins/lost_budget.py .
