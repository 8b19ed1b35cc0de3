#!/usr/bin/env bash
# What each mechanism is worth: takes one after the other out of a scratch clone
# (_fixtures/ablations/*.patch; the first line of each says which) and plays the same days and
# seeds of a site of the users' bench, without processor time. Prints the mean worth of each and
# its difference to the code as it is; the journal's entries go to journal/.
#   _scripts/ablation.sh BENCH SITE [NAME...]
#   DAYS="trouble-1 scale-1"  SEEDS="101101 202202"  JOBS=4
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$(realpath "$1")
site=$(realpath "$2")
shift 2
days=${DAYS:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}
seeds=${SEEDS:-101101 202202}
jobs=${JOBS:-4}
root=$PWD
names=("$@")
[ ${#names[@]} -gt 0 ] || names=($(cd _fixtures/ablations && ls *.patch | sed 's/\.patch$//'))
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# play prints the mean worth of the days on the seeds, with the code of a clone.
play() {
  local clone=$1 why=$2
  (cd "$clone" && "$bench" build >/dev/null 2>&1)
  for seed in $seeds; do for day in $days; do echo "$day $seed"; done; done |
    xargs -P "$jobs" -L1 bash -c 'cd "$0" && "$1" run "$2" "$4" --seed "$5" --no-cpu --why "$3" 2>&1' "$clone" "$bench" "$site" "ablation: $why" |
    awk '/BROKEN/ { broken++ } /^worth / { sum += $2; n++ } END { printf "%.4f %d %d\n", sum / n, n, broken }'
  cp -rn "$clone"/journal/. "$root/journal/" || true
}

git clone -q . "$scratch/whole"
read -r whole plays broken < <(play "$scratch/whole" "nothing taken out")
printf '%-12s %6s %7s %5s %6s  %s\n' mechanism worth lost plays broken what
printf '%-12s %6.3f %7s %5d %6d\n' "(none)" "$whole" - "$plays" "$broken"
for name in "${names[@]}"; do
  clone="$scratch/$name"
  git clone -q . "$clone"
  (cd "$clone" && patch -s -p1 --no-backup-if-mismatch <"$root/_fixtures/ablations/$name.patch")
  read -r worth plays broken < <(play "$clone" "$name")
  printf '%-12s %6.3f %7.3f %5d %6d  %s\n' "$name" "$worth" "$(echo "$whole $worth" | awk '{ print $1 - $2 }')" "$plays" "$broken" "$(sed -n '1s/^# //p' "_fixtures/ablations/$name.patch")"
  rm -rf "$clone"
done
