/*
 * What the files of the program share.
 */
#ifndef MC_MAIN_PRIVATE_H
#define MC_MAIN_PRIVATE_H

#include "mc/base.h"
#include "mc/cli.h"

typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

int run_front(int argc, char **argv);
int run_gather(int argc, char **argv);

/** run_tier() - the command "tier" */
int run_tier(int argc, char **argv);

#endif
