#!/usr/bin/env bash
# Builds the artifacts that deploy/system.toml runs: target/celerygw-host.jar and its class-data sharing (CDS) archive.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package -pl platform -am
mkdir -p target
# Replaces the JAR by a rename, so that a running host keeps loading classes from the file it has open.
cp platform/target/celerygw-platform-0.1.0-SNAPSHOT-all.jar target/new.jar
mv target/new.jar target/celerygw-host.jar
rm -f target/host.jsa
# Repeated, since a turn may fail on a busy machine; the archive must not hold less than a host loads.
for attempt in 1 2 3; do
  if java -cp target/celerygw-host.jar org.celerygw.platform.WarmUp . > target/warm-up.log 2>&1; then
    exit 0
  fi
done
cat target/warm-up.log >&2
exit 1
