#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review3; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review3
mkdir -p target/review3
javac -d target/review3 review/src3/*.java
