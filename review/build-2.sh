#!/usr/bin/env bash
# Builds what the scripts of the second review start, into target/review-2: the
# project's stand-ins for the store and for upstreams, and the callers of each
# case. To be run after the build of deploy/system.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
cc=${CC:-cc}
flags="-std=gnu11 -O1 -g -D_GNU_SOURCE -Iinclude -Itests/standin"
libs="target/packages/http/libkcf_http.a target/packages/decide/libkcf_decide.a target/packages/base/libkcf_base.a"
packages="glib-2.0 jansson libmicrohttpd libcurl libxxhash"
$cc $flags -o "$out/kcf-standin" tests/standin/{main,engine,platform,service,store}.c \
	$(pkg-config --cflags $packages) $libs $libs $(pkg-config --libs $packages) -lev -lgsl -lgslcblas -lm -lpthread
$cc $flags -o "$out/kcf-runner" tests/standin/runner.c \
	$(pkg-config --cflags glib-2.0 jansson libxxhash) target/packages/base/libkcf_base.a \
	$(pkg-config --libs glib-2.0 jansson libxxhash) -lm -lpthread
for f in review/{6,7,8,9,10}/case.c; do
	[ -e "$f" ] || continue
	n=$(basename "$(dirname "$f")")
	$cc -std=gnu11 -O1 -g -Wall -Wextra -Ireview/rig-2 -o "$out/case-$n" "$f" review/rig-2/rig.c -lpthread
done
echo "built in $out"
