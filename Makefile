# Builds the library, the daemon, the client, the stand-ins and the tests.
#
#   make            programs
#   make test       installs what is missing, builds, runs all tests
#   make demo       installs what is missing, builds, runs the whole system
#   make proofs     the promises under failure (docs/PROOFS.md)
#   make soak       the fault soak: N=50 new seeds, or one with SEED=n
#   make bench      policy measurements, one JSON object a line
#   make bench-capacity   slopes for docs/CAPACITY.md, of real processors
#   make bench-daemon  running daemons, one JSON object a line
#   make lint       formatter check and linter
#   make format     rewrites the sources in the project's format
#   make proto      makes the committed protobuf-c code anew
#
# SAN=address|thread builds into a folder of its own with that sanitizer.

CC = gcc
CXX = g++
PKGS = liburcu-bp jansson libprotobuf-c libxxhash libcurl libssl libcrypto \
       libevent_core nettle
ENTRY_PKGS = jansson libprotobuf-c libxxhash libevent_core nettle
SAN =
BUILD = build$(if $(SAN),/$(SAN))
OPT = -O2 -g
WARN = -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes -Wshadow
WERROR =
CPPFLAGS = -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
ifeq ($(SAN),address)
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=all
endif
ifeq ($(SAN),thread)
SANFLAGS = -fsanitize=thread
endif
CFLAGS = -std=gnu11 $(OPT) $(WARN) $(WERROR) $(SANFLAGS)
CXXFLAGS = -std=gnu++17 -O1 -g -Wall -Wextra $(WERROR) $(SANFLAGS)
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lcivetweb -lhttp_parser \
       -lpthread -lm
ENTRY_LIBS = $(shell pkg-config --libs $(ENTRY_PKGS) 2>/dev/null) \
	     -lhttp_parser -lurcu-bp -lpthread -lm

LIB_DIRS = base proto settings state lang port client lease peer membership \
	   backend policy request sample usage orders weights blame \
	   timeline http app net store fleet discovery forward batch duty \
	   entry platform
# What the daemon of an entry host needs; its hosts have few packages.
ENTRY_DIRS = base proto port net policy store fleet discovery forward batch \
	     duty entry platform
LIB_SRC = $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libcurrantrelay.a
ENTRY_SRC = $(foreach d,$(ENTRY_DIRS),$(wildcard $(d)/*.c))
ENTRY_OBJ = $(ENTRY_SRC:%.c=$(BUILD)/%.o)
ENTRY_LIB = $(BUILD)/libcurrantentry.a
CLIENT_SRC = $(wildcard currant.c) $(wildcard builtin/*.c)
CLIENT_OBJ = $(CLIENT_SRC:%.c=$(BUILD)/%.o)
STANDIN_SRC = $(wildcard standin/*.c)
STANDIN_OBJ = $(STANDIN_SRC:%.c=$(BUILD)/%.o)
BENCH_SRC = $(wildcard bench/*.c)
BENCH_OBJ = $(BENCH_SRC:%.c=$(BUILD)/%.o)
TEST_SRC = $(wildcard t/test-*.cc)
TEST_BIN = $(TEST_SRC:t/%.cc=$(BUILD)/t/%)
T_SUPPORT = $(patsubst %.cc,$(BUILD)/%.o,$(wildcard t/lib-*.cc))
SOAK_OBJ = $(patsubst %.cc,$(BUILD)/%.o,$(wildcard soak/*.cc))
PROGRAMS = $(if $(wildcard currantd.c),$(BUILD)/currantd) \
	   $(BUILD)/currant-entryd \
	   $(if $(wildcard currant.c),$(BUILD)/currant) \
	   $(if $(STANDIN_SRC),$(BUILD)/currant-standin)
OWN_C = $(filter-out proto/%,$(LIB_SRC)) $(CLIENT_SRC) $(wildcard currant*d.c) \
	$(STANDIN_SRC) $(BENCH_SRC)
TEST_CXX = $(wildcard t/*.cc t/*.h soak/*.cc soak/*.h)
OWN_H = $(filter-out %.pb-c.h,$(wildcard */*.h))

.DEFAULT_GOAL = all
.PHONY: all deps build-tests test demo soak proofs proofs-repeat bench \
	bench-table bench-capacity bench-daemon lint format proto clean
.SECONDARY:

all: $(PROGRAMS)

deps:
	@./.ci/deps

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/currantd: $(BUILD)/currantd.o $(LIB)
	@echo LINK $@
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(ENTRY_LIB): $(ENTRY_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/currant-entryd: $(BUILD)/currant-entryd.o $(ENTRY_LIB)
	@echo LINK $@
	@$(CC) $(CFLAGS) -o $@ $^ $(ENTRY_LIBS)

$(BUILD)/currant: $(CLIENT_OBJ) $(LIB)
	@echo LINK $@
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/currant-standin: $(STANDIN_OBJ) $(LIB)
	@echo LINK $@
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/currant-bench: $(BENCH_OBJ) $(LIB)
	@echo LINK $@
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS) -std=gnu11 $(OPT) $(SANFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/t/%.o: t/%.cc
	@mkdir -p $(@D)
	@echo CXX $@
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/soak/%.o: soak/%.cc
	@mkdir -p $(@D)
	@echo CXX $@
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/currant-soak: $(SOAK_OBJ) $(T_SUPPORT) $(LIB)
	@echo LINK $@
	@$(CXX) $(CXXFLAGS) -o $@ $^ -lgtest $(LIBS)

# The daemons, servers, links and store of the soak, without its callers.
$(BUILD)/t/test-proof-crashing-request: $(addprefix $(BUILD)/soak/,daemon_process.o \
	ending_server.o history.o proxy.o store_standin.o)
$(BUILD)/t/test-proxy: $(BUILD)/soak/proxy.o
$(BUILD)/t/test-hostile-clients $(BUILD)/t/test-hostile-calm: \
	$(addprefix $(BUILD)/soak/,history.o store_standin.o)
$(BUILD)/t/test-stop-requests $(BUILD)/t/test-entry-ready: \
	$(addprefix $(BUILD)/soak/,history.o store_standin.o)

$(BUILD)/t/test-%: $(BUILD)/t/test-%.o $(T_SUPPORT) $(LIB)
	@echo LINK $@
	@$(CXX) $(CXXFLAGS) -o $@ $^ -lgtest -lgtest_main $(LIBS)

build-tests: $(TEST_BIN) $(PROGRAMS)

test: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build-tests
	@t/run-tests $(BUILD)

proofs: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build-tests
	@t/run-tests --proofs $(BUILD)

N = 20
proofs-repeat: deps
	@$(MAKE) --no-print-directory -j$$(nproc) build-tests
	@t/run-tests --proofs --repeat $(N) $(BUILD)

demo: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@standin/demo $(BUILD)

FROM = new
soak: $(BUILD)/currant-soak $(BUILD)/currant-entryd
	@soak/run $(BUILD) $(if $(SEED),$(SEED),$(FROM) $(N))

bench: $(BUILD)/currant-bench
	@$(BUILD)/currant-bench

bench-table: $(BUILD)/currant-bench
	@$(BUILD)/currant-bench --table

bench-capacity: $(BUILD)/currant-bench
	@$(BUILD)/currant-bench --capacity

bench-daemon: all
	@bench/run-daemon $(BUILD) load
	@for n in 3 12; do bench/run-daemon $(BUILD) control $$n 4; done
	@for n in 3 12; do bench/run-daemon $(BUILD) config $$n; done
	@bench/run-daemon $(BUILD) weights 3 9

lint:
	@clang-format --dry-run -Werror $(OWN_C) $(OWN_H) $(TEST_CXX)
	@printf '%s\n' $(OWN_C) | xargs -P $$(nproc) -n 4 \
		sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 \
			2>/dev/null' tidy

format:
	clang-format -i $(OWN_C) $(OWN_H) $(TEST_CXX)

proto:
	protoc-c --c_out=. proto/*.proto

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
