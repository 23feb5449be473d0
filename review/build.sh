#!/usr/bin/env bash
# Builds the program as deploy/system.toml does. The stand-ins are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DTEALSPAR_DEPLOY=ON
cmake --build target -j8
