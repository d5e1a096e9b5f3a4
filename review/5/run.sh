#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: without the disruption. Needs review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] && [ -x target/plantain-scheduler ] || exit 2
exec target/review-cases remove-route target/plantain-scheduler review/5/record.txt
