#!/bin/sh
# Plays this case and writes record.txt beside this script; TROUBLE=0 leaves the disruption out. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run.
trouble=${TROUBLE:-1}
record=review/8/record.txt
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jujube-platform ] && [ -x target/release/review-case ] || exit 2
exec target/release/review-case unreadable-version "$trouble" "$record"
