#!/bin/sh
# Builds the stand-ins of the scripts in review/N, after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
make --no-print-directory V=release -j4 build/release/libbamboofront.a \
	build/release/tests/support-standin.o || exit 2
mkdir -p build/review
gcc -O2 -g -Wall -Wextra -Wno-missing-field-initializers -D_GNU_SOURCE -I. \
	$(pkg-config --cflags libmicrohttpd jansson libcurl libtirpc) \
	-o build/review/stage review/stage.c \
	build/release/tests/support-standin.o build/release/libbamboofront.a \
	$(pkg-config --libs libtirpc libmicrohttpd libcurl jansson popt \
		libsodium ck) -lhttp_parser -pthread -lm
