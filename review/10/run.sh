#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/beaconturn.jar ] || [ ! -f target/review-2/SlowList.class ]; then
    echo "could not run: build with the deploy file's command and review/build-2.sh first"
    exit 2
fi
exec java -Xmx256m -cp target/review-2 SlowList review/10/record.txt
