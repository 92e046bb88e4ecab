/*
 * Declarations shared by the files of the program.
 */
#ifndef MC_MAIN_PRIVATE_H
#define MC_MAIN_PRIVATE_H

#include "mc/base.h"
#include "mc/cli.h"

/**
 * struct command_t - a command of the program
 * @name: its name
 * @run: runs it on its arguments; returns the exit status
 * @help: short description
 */
typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

/** run_front() - Run the command "front". */
int run_front(int argc, char **argv);

/** run_gather() - Run the command "gather". */
int run_gather(int argc, char **argv);

/** run_tier() - Run the command "tier". */
int run_tier(int argc, char **argv);

#endif
