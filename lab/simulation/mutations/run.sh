#!/usr/bin/env bash
# Builds the simulation with one mechanism of mutations.txt switched off at a time, and plays it.
#   run.sh check                  whether every mutation applies and builds
#   run.sh all [SEEDS [NAME]]     plays all of them, or those whose name holds NAME
#   run.sh some COUNT [SEEDS]     builds all and plays a few of those that are not marked as open: others on each
#                                 day (that of the newest commit)
# SEEDS: days that are played at the most for each (2000). Prints the first seed that finds each. Fails if a
# mutation does not apply or build, or if one that is played is not found. The sources stay as they are: the
# changed files lie in target/mutations and go before them when the compiler looks for a file.
set -euo pipefail
cd "$(dirname "$0")/../../.."
root=$PWD
work=$root/target/mutations
build=$work/build
list=lab/simulation/mutations/mutations.txt

# Replaces text that stands in the file once, to the letter.
replace() {  # file from to
  FROM=$2 TO=$3 perl -0pi -e '
    my ($from, $to) = ($ENV{FROM}, $ENV{TO});
    my $count = () = /\Q$from\E/g;
    die "stands $count times: $from\n" unless $count == 1;
    s/\Q$from\E/$to/;' "$1"
}

# Writes the changed file of each mutation into a folder of its own.
apply_all() {
  local line name="" file="" player="" open="" number=0 failed=0
  local -a texts=()
  apply_one() {
    [ -n "$name" ] || return 0
    number=$((number + 1))
    local folder=$work/$(printf '%02d' "$number") copy
    copy=$folder/overlay/$file
    mkdir -p "$(dirname "$copy")"
    echo "$name" >"$folder/name"
    echo "$file" >"$folder/file"
    echo "${player:-fleet_simulation}" >"$folder/player"
    [ -z "$open" ] || echo "$open" >"$folder/open"
    cp "$file" "$copy"
    while [ "${#texts[@]}" -ge 2 ]; do
      replace "$copy" "${texts[0]}" "${texts[1]}" || { echo "does not apply: $name"; failed=1; }
      texts=("${texts[@]:2}")
    done
  }
  while IFS= read -r line || [ -n "$line" ]; do
    case "$line" in
      "mutation: "*) apply_one; name=${line#mutation: }; player=""; open=""; texts=() ;;
      "file: "*) file=${line#file: } ;;
      "open: "*) open=${line#open: } ;;
      "player: "*) player=${line#player: } ;;
      "from: "* | "also: "*) texts+=("${line#*: }") ;;
      "to:"* | "by:"*) line=${line#*:}; texts+=("${line# }") ;;
    esac
  done <"$list"
  apply_one
  return $failed
}

# The command that compiles a file, as CMake has it.
compile_command() {  # file
  grep -B 1 -F "\"file\": \"$root/$1\"" "$build/compile_commands.json" |
    sed -n 's/^ *"command": "\(.*\)",$/\1/p' | sed 's/\\"/"/g' | head -n 1
}

# The files to compile anew: the changed one, or all that read it.
units_of() {  # file
  case "$1" in
    *.cpp) echo "$1" ;;
    *) grep -rl --include='*.cpp.o.d' -F "/${1#src/}" "$build" | while read -r depends; do
         tr ' \\' '\n\n' <"$depends" | grep -m 1 "^$root/.*\.cpp$"
       done | sed "s|^$root/||" | grep -v '^lab/apps/' | sort -u ;;
  esac
}

# Whether a program is linked with the package that a file belongs to.
links() {  # player file
  grep -q "lib$(dirname "$2" | tr / _)\.a" "$build/lab/CMakeFiles/$1.dir/link.txt"
}

# Compiles what a mutation changes and links it before the rest of the program.
build_one() {  # folder
  local folder=$1 file player unit command source objects=""
  file=$(cat "$folder/file")
  player=$(cat "$folder/player")
  for unit in $(units_of "$file"); do
    links "$player" "$unit" || continue
    command=$(compile_command "$unit")
    [ -n "$command" ] || continue
    source=$root/$unit
    [ "$unit" != "$file" ] || source=$folder/overlay/$file
    command=${command%% -o *}
    command="${command/ / -I$folder/overlay/src -I$folder/overlay } -w"
    bash -c "$command -o $folder/$(basename "$unit").o -c $source" || return 1
    objects+=" $folder/$(basename "$unit").o"
  done
  (cd "$build/lab" && bash -c "$(sed "s| -o [^ ]* |$objects -o $folder/simulation |" CMakeFiles/$player.dir/link.txt)")
}

try_build() {  # folder
  build_one "$1" >"$1/log" 2>&1 && return 0
  echo "does not build: $(cat "$1/name")"
  tail -n 20 "$1/log"
  return 1
}

play_one() {  # seeds folder
  local found seeds=$1
  case "$(cat "$2/player")" in
    fleet_quota_days) seeds=$((10 * seeds)) ;;  # a day of quota takes a fiftieth of the time
    fleet_wire_play) seeds=$((seeds / 10)) ;;   # those run in real time
  esac
  found=$("$2/simulation" --seeds="$seeds" --threads=1 --stop_at_first | grep -m 1 '^seed' || true)
  if [ -n "$found" ]; then
    echo "found: $(cat "$2/name"): $found"
  else
    echo "NOT FOUND in $seeds seeds: $(cat "$2/name")$(sed 's/^/ (known: /;s/$/)/' "$2/open" 2>/dev/null)"
    return 1
  fi
}

export root work build
export -f compile_command links units_of build_one try_build play_one

prepare() {
  mkdir -p "$work"
  rm -rf "$work"/[0-9]*
  apply_all || exit 1
  cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
  cmake --build "$build" -j"$(nproc)" --target fleet_simulation fleet_quota_days fleet_wire_play >"$work/log" 2>&1 || { cat "$work/log"; exit 1; }
  printf '%s\n' "$work"/[0-9]* | xargs -P "$(nproc)" -I{} bash -c 'try_build {}' || exit 1
  echo "$(printf '%s\n' "$work"/[0-9]* | wc -l) mutations apply and build"
}

# Plays the folders that are read from standard input.
play() {  # seeds
  xargs -P "$(nproc)" -I{} bash -c "play_one $1 {}" && echo "all that were played are found"
}

mode=${1:-all}
case "$mode" in
  check) prepare ;;
  all)
    prepare
    grep -lF -- "${3:-}" "$work"/[0-9]*/name | xargs -n 1 dirname | play "${2:-2000}"
    ;;
  some)
    day=$(($(git log -1 --format=%ct) / 86400))
    prepare
    found=()
    for folder in "$work"/[0-9]*; do [ -e "$folder/open" ] || found+=("$folder"); done
    first=$((day * ${2:?how many} % ${#found[@]}))
    echo "day $day: $2 of the ${#found[@]} that are not open, from number $((first + 1)) on"
    for ((i = 0; i < $2; ++i)); do echo "${found[$(((first + i) % ${#found[@]}))]}"; done | play "${3:-2000}"
    ;;
  *) sed -n '2,9s/^# //p' "$0"; exit 2 ;;
esac
