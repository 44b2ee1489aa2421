#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs with the JDK alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -nowarn -d target/review review/src/review/*.java
