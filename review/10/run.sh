#!/bin/sh
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jujube-platform ] && [ -x target/release/review-case ] || exit 2
exec target/release/review-case lost-registration review/10
