#!/usr/bin/env bash
# Switches the mechanisms of mutations.txt off, one at a time, in a copy of the sources under target/mutations,
# and plays the simulation on each. Prints the seed that finds it; fails if one is not found.
#   run.sh [SEEDS] [NAME]   SEEDS: the most that are played for each; NAME: only those whose name holds it
set -euo pipefail
cd "$(dirname "$0")/../../.."
seeds=${1:-6000}
only=${2:-}
list=lab/simulation/mutations/mutations.txt
copy=target/mutations/source
build=target/mutations/build
rm -rf target/mutations
mkdir -p "$copy"
git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$copy"
cmake -S "$copy" -B "$build" -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON >/dev/null
make_it() { cmake --build "$build" -j"$(nproc)" --target fleet_simulation >"$build/log" 2>&1; }
make_it || { cat "$build/log"; exit 1; }

# Replaces text that stands in the file once, to the letter.
replace() {
  FROM=$2 TO=$3 perl -0pi -e '
    my ($from, $to) = ($ENV{FROM}, $ENV{TO});
    my $count = () = /\Q$from\E/g;
    die "stands $count times: $from\n" unless $count == 1;
    s/\Q$from\E/$to/;' "$1"
}

missed=0
played=0
play() {  # name file from to [from to]...
  local name=$1 file=$2
  shift 2
  [[ -z "$only" || "$name" == *"$only"* ]] || return 0
  while [ "$#" -ge 2 ]; do
    replace "$copy/$file" "$1" "$2"
    shift 2
  done
  make_it || { echo "does not build: $name"; tail -n 20 "$build/log"; exit 1; }
  local found
  found=$("$build/fleet-simulation" --seeds="$seeds" --stop_at_first | grep -m 1 '^seed' || true)
  played=$((played + 1))
  if [ -n "$found" ]; then
    echo "found: $name: $found"
  else
    echo "NOT FOUND in $seeds seeds: $name"
    missed=$((missed + 1))
  fi
  cp "$file" "$copy/$file"
}

name="" file="" texts=()
flush() { [ -z "$name" ] || play "$name" "$file" "${texts[@]}"; }
while IFS= read -r line || [ -n "$line" ]; do
  case "$line" in
    "mutation: "*) flush; name=${line#mutation: }; texts=() ;;
    "file: "*) file=${line#file: } ;;
    "from: "*) texts+=("${line#from: }") ;;
    "to:"*) line=${line#to:}; texts+=("${line# }") ;;
    "also: "*) texts+=("${line#also: }") ;;
    "by:"*) line=${line#by:}; texts+=("${line# }") ;;
  esac
done <"$list"
flush
echo "$played mutations, $missed not found"
[ "$missed" -eq 0 ]
