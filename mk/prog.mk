# A program from every .c file of the directory: set PROG, include this.
# EXTRA_OBJS: objects that a program made before this one has built.
include $(TOP)/mk/flags.mk
OBJDIR	:= $(OUT)/$(PROG).d
OBJS	:= $(patsubst %.c,$(OBJDIR)/%.o,$(sort $(wildcard *.c)))
LIBS	:= $(EXTRA_LIBS) $(OUT)/libcore.a $(OUT)/liblib.a

all: $(OUT)/bin/$(PROG)

$(OUT)/bin/$(PROG): $(OBJS) $(EXTRA_OBJS) $(LIBS)
	@mkdir -p $(OUT)/bin
	$(CC) $(SANFLAGS) -o $@ $(OBJS) $(EXTRA_OBJS) $(LIBS) $(PKG_LIBS) -lm

$(OBJDIR)/%.o: %.c
	@mkdir -p $(OBJDIR)
	$(COMPILE_C) -o $@ $<

-include $(OBJS:.o=.d)
.PHONY: all
