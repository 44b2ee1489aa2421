#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review3/Run.class ] && [ -f target/celerygw-host.jar ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec java -Xmx512m -cp target/review3 Run stop-stream review/13
