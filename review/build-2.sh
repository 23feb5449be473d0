#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8 into target/review-2/. Needs only what the
# deploy file's packages bring: gcc, pkg-config, libuv1-dev, libglib2.0-dev.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
libraries=$(pkg-config --cflags --libs libuv glib-2.0)
for program in drain_case; do
    # shellcheck disable=SC2086
    gcc -O1 -g -Wall -Wextra -Wno-unused-parameter -o "target/review-2/$program" \
        "review/lib-2/$program.c" review/lib-2/world.c $libraries
done
