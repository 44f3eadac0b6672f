#!/bin/sh
# Builds the stand-ins and the driver of review/4 to review/8 into
# build/review-2; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
B=build/review-2
make --no-print-directory -j4 V=release B=$B $B/libbamboofront.a \
	$B/tests/support-standin.o >/dev/null
PKGS="libtirpc libmicrohttpd libcurl jansson popt libsodium ck"
for p in r2-world r2-drive; do
	gcc -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. $(pkg-config --cflags $PKGS) \
		-o $B/$p review/4/$p.c $B/tests/support-standin.o \
		$B/libbamboofront.a $(pkg-config --libs $PKGS) -lhttp_parser \
		-pthread -lm
done
