# Objects beyond the libraries that a test program links: OBJS_test_NAME.
# All of the key-value stand-in but its main.
KVSTAND_OBJS = $(patsubst $(TOP)/kvstand/%.c,$(OUT)/kvstand.d/%.o, \
	$(filter-out %/main.c,$(sort $(wildcard $(TOP)/kvstand/*.c))))
OBJS_test_callers = $(filter $(OUT)/lagoonpind.d/call%.o, \
	$(patsubst $(TOP)/lagoonpind/%.c,$(OUT)/lagoonpind.d/%.o, \
	$(wildcard $(TOP)/lagoonpind/*.c))) \
	$(addprefix $(OUT)/lagoonpind.d/,claim_answer.o claim_store.o \
	conf_watch.o reply.o vms.o) $(KVSTAND_OBJS)
OBJS_test_commit_loop = $(KVSTAND_OBJS)
OBJS_test_ctl = $(addprefix $(OUT)/lagoonpinctl.d/,call.o commands.o config.o \
	fields.o jobs.o lists.o print.o records.o show.o targets.o transport.o \
	wait.o)
OBJS_test_kvstand = $(KVSTAND_OBJS)
OBJS_test_ledger_model = $(OBJDIR)/ledger_world.o $(OBJDIR)/ledger_world_key.o
OBJS_test_load = $(addprefix $(OUT)/lagoonload.d/,check.o plan.o tally.o)
OBJS_test_operators = $(addprefix $(OUT)/lagoonpind.d/,change.o conf_watch.o \
	history.o operators.o reply.o) $(KVSTAND_OBJS)
OBJS_test_itemset = $(addprefix $(OUT)/platstand.d/,itemset.o xmalloc.o)
OBJS_test_machine = $(addprefix $(OUT)/platstand.d/,machine.o xmalloc.o) \
	$(OUT)/workstand.d/witness.o
OBJS_test_registry = $(OUT)/lagoonpind.d/registry_parse.o
OBJS_test_replay = $(addprefix $(OUT)/lagoonreplay.d/,baseline.o calls.o \
	faults.o generate.o measure.o ours.o policies.o report.o tasks.o \
	trace.o traceline.o world.o)
OBJS_test_store = $(KVSTAND_OBJS)
OBJS_test_vmstand = $(OUT)/vmstand.d/vms.o
OBJS_test_workstand = $(addprefix $(OUT)/workstand.d/,room.o run.o usage.o \
	witness.o worker.o)
OBJS_test_sched_model = $(OBJDIR)/sched_world.o
OBJS_test_sched_model_crash = $(OBJDIR)/sched_world.o
