#!/bin/bash
# Compares the benchmarks of two versions of this project by benchstat.
# Usage: tools/compare_benchmarks.sh OLD NEW [PACKAGES...]; OLD and NEW are
# commits. COUNT (default 6) runs of each, of BENCHTIME (default 200ms).
set -euo pipefail
cd "$(dirname "$0")/.."
old="$1"
new="$2"
shift 2
packages=("${@:-./...}")
out="$(mktemp -d)"
cleanup() {
  git worktree remove --force "$out/old" 2>/dev/null || true
  git worktree remove --force "$out/new" 2>/dev/null || true
  rm -rf "$out"
}
trap cleanup EXIT
git worktree add --quiet --detach "$out/old" "$old"
git worktree add --quiet --detach "$out/new" "$new"
# The versions take turns, so that a busy machine slows both alike.
for _ in $(seq "${COUNT:-6}"); do
  for side in old new; do
    (cd "$out/$side" && go test -p 1 -run '^$' -bench . -benchmem -benchtime "${BENCHTIME:-200ms}" "${packages[@]}") >>"$out/$side.txt" || true
  done
done
go tool -modfile=tools/go.mod benchstat "$out/old.txt" "$out/new.txt"
