#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."

program=target/review-2/lost_answer_case
[ -x "$program" ] && [ -x target/plantain-scheduler ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
export TROUBLE="${TROUBLE:-1}"
"$program" "$folder" review/10/record.txt
