# make demo    install, build, and demonstrate the system in real processes
# make check   install, build, check the format, lint, run all tests
# make bench   benchmark a fleet of the current size, see docs/MEASUREMENTS.md
# make         release build of the programs under build/release
# make gen     regenerate the XDR code after a change to a schema file

PACKAGES = libck-dev libtirpc-dev rpcsvc-proto libmicrohttpd-dev \
	libcurl4-openssl-dev libpopt-dev libcriterion-dev libjansson-dev \
	libsodium-dev uthash-dev librapidcheck-dev libjemalloc-dev pkg-config gcc g++ \
	libhttp-parser-dev clang-format clang-tidy cppcheck
PKGS = libtirpc libmicrohttpd libcurl jansson popt libsodium ck

CC = gcc
CXX = g++
WARN = -Wall -Wextra -Werror -Wshadow -Wpointer-arith -Wno-missing-field-initializers
CPPFLAGS = -D_GNU_SOURCE -I. $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -pthread -lm
# jemalloc, because messages are allocated by one thread and freed by another,
# thousands of times a second.
ALLOCATOR_release = -ljemalloc
FLAGS_release = -O2 -g
# undefined doesn't include the conversion of a double that is out of range.
FLAGS_san = -O1 -g -fsanitize=address,undefined,float-cast-overflow \
	-fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined,float-cast-overflow
FLAGS_tsan = -O1 -g -fsanitize=thread

XDR = types operator peer event rows
GEN = $(XDR:%=%.h) $(XDR:%=%_xdr.c) operator_clnt.c peer_clnt.c
GEN_C = $(filter %.c,$(GEN))

# Each program has one main file; the client's commands are in cmd-*.c.
MAINS = $(wildcard bamboofrontd.c bamboofront.c bamboofront-replay.c \
	bamboofront-entryd.c)
CMD_SRC = $(wildcard cmd-*.c)
LIB_SRC = $(filter-out $(MAINS) $(CMD_SRC) $(GEN_C),$(wildcard *.c platform/*.c)) $(GEN_C)
STANDINS = $(patsubst tests/%.c,%,$(wildcard tests/standin-*.c))
TOOLS = $(patsubst bench/%.c,%,$(wildcard bench/bench-*.c))
TESTS = $(patsubst tests/%.c,%,$(wildcard tests/test-*.c))
PROPS = $(patsubst tests/%.cc,%,$(wildcard tests/prop-*.cc))
# Tests for the thread sanitizer.  They don't use Criterion, because it maps its
# arena at an address that this sanitizer forbids, and print their own summary.
RACES = $(patsubst tests/%.c,%,$(wildcard tests/race-*.c))
# Soak tests: real processes with injected faults; callers and workers check the
# invariants.
SOAKS = $(patsubst tests/%.c,%,$(wildcard tests/soak-*.c))
# Helpers shared by several tests.
TEST_LIB = $(patsubst tests/%.c,%,$(wildcard tests/support-*.c))

HAND = $(filter-out $(GEN),$(wildcard *.c *.h platform/*.c platform/*.h \
	tests/*.c tests/*.h \
	tests/*.cc bench/*.c))

all: release

V ?= san
B = build/$(V)

# Each variant is built by a recursive make, so that it has its own objects.
release san tsan:
	@$(MAKE) --no-print-directory V=$@ build
build: $(B)/libbamboofront.a $(MAINS:%.c=$(B)/%) $(STANDINS:%=$(B)/%) \
	$(TOOLS:%=$(B)/%) $(if $(filter release,$(V)),,tests)
tests: $(if $(filter san,$(V)),$(TESTS:%=$(B)/%) $(PROPS:%=$(B)/%) \
	$(SOAKS:%=$(B)/%)) \
	$(RACES:%=$(B)/%)

$(B)/%.o: %.c Makefile
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS) $(WARN) $(FLAGS_$(V)) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cc Makefile
	@mkdir -p $(@D)
	@echo CXX $@
	@$(CXX) -std=c++17 $(CPPFLAGS) $(WARN) $(FLAGS_$(V)) -MMD -MP -c -o $@ $<
$(GEN_C:%.c=$(B)/%.o): WARN = -w

$(B)/libbamboofront.a: $(LIB_SRC:%.c=$(B)/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(B)/bamboofront: $(B)/bamboofront.o $(CMD_SRC:%.c=$(B)/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS)
$(B)/bamboofrontd $(B)/bamboofront-replay $(B)/bamboofront-entryd: $(B)/%: $(B)/%.o \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS) $(ALLOCATOR_$(V))
$(B)/standin-%: $(B)/tests/standin-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS)
$(B)/bench-%: $(B)/bench/bench-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS) -lm
$(B)/test-%: $(B)/tests/test-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS) -lcriterion
# The client's commands are in no library, so their test links the objects.
$(B)/test-client: $(CMD_SRC:%.c=$(B)/%.o)
$(B)/soak-%: $(B)/tests/soak-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS)
$(B)/race-%: $(B)/tests/race-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CC) $(FLAGS_$(V)) -o $@ $^ $(LIBS)
$(B)/prop-%: $(B)/tests/prop-%.o $(TEST_LIB:%=$(B)/tests/%.o) \
	$(B)/libbamboofront.a
	@echo LINK $@
	@$(CXX) $(FLAGS_$(V)) -o $@ $^ $(LIBS) -lrapidcheck

# Build only the daemon of the platform's entry VMs; the deploy file runs this.
deploy:
	@$(MAKE) --no-print-directory V=release B=target \
		target/bamboofront-entryd

gen:
	for x in $(XDR); do rm -f $$x.h $${x}_xdr.c && \
		rpcgen -N -M -h -o $$x.h $$x.x && \
		rpcgen -N -M -c -o $${x}_xdr.c $$x.x || exit 1; done
	for x in operator peer; do rm -f $${x}_clnt.c && \
		rpcgen -N -M -l -o $${x}_clnt.c $$x.x || exit 1; done

install-packages:
	@./install-packages $(PACKAGES)

format:
	clang-format -i $(HAND)
check-format:
	clang-format --dry-run -Werror $(HAND)

TIDY_SRC = $(filter-out $(GEN),$(wildcard *.c platform/*.c bench/*.c tests/*.c))
TIDY = $(TIDY_SRC:%=build/tidy/%.ok)
build/tidy/%.ok: % .clang-tidy $(wildcard *.h *.def platform/*.h)
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) >$@.out 2>/dev/null \
		|| { cat $@.out; exit 1; }
	@touch $@
tidy: $(TIDY)
lint: tidy
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
		--enable=warning,performance,portability -j 8 \
		--suppress=missingIncludeSystem --suppress=nullPointerOutOfMemory \
		-D_GNU_SOURCE --include=.cppcheck.h $(filter-out $(GEN),$(wildcard *.c platform/*.c bench/*.c))

check: install-packages
	@$(MAKE) --no-print-directory -j12 check-format san release
	@$(MAKE) --no-print-directory -j12 lint
	@$(MAKE) --no-print-directory -j12 V=tsan $(RACES:%=build/tsan/%)
	@tests/run $(TESTS:%=build/san/%) $(PROPS:%=build/san/%) \
		$(RACES:%=build/tsan/%) $(SOAKS:%=build/san/%)

demo: install-packages
	@$(MAKE) --no-print-directory -j12 release
	@./demo

# Benchmark a fleet of the current size against a baseline; the figures behind
# docs/CAPACITY.md come from bench/slopes.
bench:
	@$(MAKE) --no-print-directory -j6 release
	@bench/today

clean:
	rm -rf build target

-include $(wildcard $(B)/*.d $(B)/*/*.d)


.PHONY: deploy all release san tsan build tests gen install-packages format \
	check-format tidy lint check demo bench clean
.SECONDARY:
