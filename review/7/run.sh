#!/usr/bin/env bash
# Plays the case with the gateways of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/sycamorestile-hosted ] || exit 2
TROUBLE="${TROUBLE:-1}" target/review-2/cases silent review/7
status=$?
[ $status -le 2 ] || status=2
exit $status
