#!/bin/sh
# Builds the stand-ins and the cases 6 to 10 of the review, without a network. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/src-2/*.java
