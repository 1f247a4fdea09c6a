# A static library from every .c file of the directory: set LIB, include this.
include $(TOP)/mk/flags.mk
OBJDIR	:= $(OUT)/$(LIB)
OBJS	:= $(patsubst %.c,$(OBJDIR)/%.o,$(sort $(wildcard *.c)))

all: $(OUT)/lib$(LIB).a

$(OUT)/lib$(LIB).a: $(OBJS)
	rm -f $@
	ar rcs $@ $(OBJS)

$(OBJDIR)/%.o: %.c
	@mkdir -p $(OBJDIR)
	$(COMPILE_C) -o $@ $<

-include $(OBJS:.o=.d)
.PHONY: all
