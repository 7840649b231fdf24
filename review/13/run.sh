#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-third ] && [ -x target/jackdaw-edge ] || exit 2
exec timeout -k 5 110 target/review-third settings review/13/record.txt
