#!/bin/bash
# Builds poststand as the deploy file says, and the stand-ins of the cases. Run by each run.sh if needed.
set -eu
cd "$(dirname "$0")/.."
if [ ! -x target/poststand ]; then
	eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
go build -o review/bin/cases ./review/_cases
