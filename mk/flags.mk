# Flags shared by every directory.  SAN=1 builds with the address and
# undefined-behaviour sanitizers into its own object tree.
TOP		?= ..
SAN		?= 0
BUILD		:= $(if $(filter 1,$(SAN)),asan,build)
OUT		:= $(TOP)/$(BUILD)

PKGS		= libbsd-overlay libh2o libuv libzmq jansson msgpack libxxhash \
		  libcurl gsl libcrypto
PKG_CFLAGS	:= $(shell pkg-config --cflags $(PKGS))
PKG_LIBS	:= $(shell pkg-config --libs $(PKGS))

WARN		= -Wall -Wextra -Werror -Wshadow -Wpointer-arith
CWARN		= $(WARN) -Wmissing-prototypes -Wstrict-prototypes
SANFLAGS	= $(if $(filter 1,$(SAN)),-fsanitize=address$(comma)undefined \
		  -fno-sanitize-recover=undefined)
comma		:= ,
CPPFLAGS	+= -D_GNU_SOURCE -I$(TOP)/lib -I$(TOP)/core -I$(TOP)/entry
CFLAGS		?= -O2 -g
CXXFLAGS	?= -O1 -g
CSTD		= -std=gnu11
CXXSTD		= -std=gnu++17
COMPILE_C	= $(CC) $(CSTD) $(CPPFLAGS) $(PKG_CFLAGS) $(CWARN) $(CFLAGS) \
		  $(SANFLAGS) -MMD -MP -c
COMPILE_CXX	= $(CXX) $(CXXSTD) $(CPPFLAGS) $(PKG_CFLAGS) $(WARN) \
		  $(CXXFLAGS) $(SANFLAGS) -MMD -MP -c
