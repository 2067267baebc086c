#!/usr/bin/env bash
# Runs set-up, build, checks, the demonstration fleet and the benchmarks. "help" lists the commands.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly BUILD_FOLDER=${ANVILYARD_BUILD_FOLDER:-Build}
# Defaults to all cores because half of them would make CI slow. The largest translation units need about 1 GB of memory each.
readonly JOBS=${ANVILYARD_JOBS:-$(nproc)}

readonly PACKAGES=(
    g++ cmake ninja-build python3 ccache clang-format clang-tidy pkg-config curl git python3 gnuplot-nox
    libcaf-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libeasyloggingpp-dev libcxxopts-dev libyaml-cpp-dev libexpected-dev
    libopentracing-dev prometheus-cpp-dev libxxhash-dev libssl-dev
    libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
)

usage() {
    cat <<'USAGE'
Meta/anvilyard.sh COMMAND

  setup       install the Debian packages required for building
  build       build everything (warnings are errors)
  lint        check the deployment file, build, check the formatting and run the linter
  test        build, then run all tests
  run         set up, build, and demonstrate a complete fleet on this machine
  up          build, start a fleet on loopback and print its addresses (up --help)
  bench       build and run the benchmarks: bench [NAME ...] [--list]
  format      format all sources in place
  catalogue   build and generate docs/operators/log-catalogue.md
  generate    regenerate the committed gRPC code from peer.proto
USAGE
}

sources() {
    git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '/Generated/'
}

setup() {
    local missing=()
    for package in "${PACKAGES[@]}"; do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

build() {
    [ -f "$BUILD_FOLDER/build.ninja" ] || cmake -S . -B "$BUILD_FOLDER" -G Ninja >/dev/null
    ninja -C "$BUILD_FOLDER" -j "$JOBS"
}

lint() {
    sources | xargs -r clang-format --dry-run --Werror
    sources | grep '\.cpp$' | xargs -r -P "$JOBS" -n 1 clang-tidy -p "$BUILD_FOLDER" --quiet --extra-arg=-Wno-unknown-warning-option 2>&1 \
        | { grep -v -E '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; } \
        | tee "$BUILD_FOLDER/lint.log"
    ! grep -q -E '(error|warning):' "$BUILD_FOLDER/lint.log"
}

# The build that runs beside this one while machines are replaced is built from the history.
check_production() {
    local commit
    commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
    if [ "$(git rev-parse --is-shallow-repository)" = true ]; then
        echo "production in deploy/system.toml is not checked: the clone has no history"
    elif ! git merge-base --is-ancestor "${commit:-none}" HEAD 2>/dev/null; then
        echo "deploy/system.toml: production names '$commit', which is not an ancestor of this commit" >&2
        return 1
    fi
}

# Tests that fail for a known fault: the second word of each entry in KNOWN-RED.txt is the test's full name.
known_red_tests() {
    [ ! -f KNOWN-RED.txt ] || awk 'NF && !/^#/ { sub(/;$/, "", $2); print $2 }' KNOWN-RED.txt
}

run_tests() {
    build
    local red
    red=$(known_red_tests | paste -sd:)
    if [ -n "$red" ]; then
        echo "Left out, listed in KNOWN-RED.txt:"
        grep -v '^#' KNOWN-RED.txt
        export GTEST_FILTER="-$red"
    fi
    ctest --test-dir "$BUILD_FOLDER" --output-on-failure -j "$JOBS" "$@"
}

case "${1:-help}" in
setup) setup ;;
build) build ;;
lint) check_production && build && lint ;;
test) shift && run_tests "$@" ;;
run)
    echo "Installing missing packages" && setup
    echo "Building" && build
    exec python3 Meta/fleet/demonstrate.py
    ;;
up)
    shift
    [ "${1:-}" = --help ] || build >&2
    exec python3 Meta/fleet/up.py "$@"
    ;;
bench) shift && build >&2 && exec python3 Meta/bench/bench.py "$@" ;;
format) sources | xargs -r clang-format -i ;;
catalogue)
    build
    ANVILYARD_WRITE_CATALOGUE=1 "$BUILD_FOLDER/bin/TestLibObserve" --gtest_filter='EventCatalogue*'
    ;;
generate)
    (cd Libraries/LibPeer && protoc -I. --cpp_out=Generated --grpc_out=Generated \
        --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto)
    ;;
help | --help) usage ;;
*)
    usage >&2
    exit 2
    ;;
esac
