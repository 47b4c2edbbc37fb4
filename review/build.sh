#!/usr/bin/env bash
# Builds the stand-ins of the review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/lib/*' review/standin/*.java
