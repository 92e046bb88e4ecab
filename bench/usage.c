/*
 * Parses /proc/PID/stat: fields 14 and 15 are user and system CPU time in clock
 * ticks, field 24 is resident memory in pages. The program name in field 2 may
 * contain spaces, so fields are counted from its closing parenthesis.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "usage.h"

enum {
	PATH_SIZE = 64,
	TEXT_SIZE = 1024,
	FIELD_AFTER_NAME = 3,
	FIELD_USER_TIME = 14,
	FIELD_SYSTEM_TIME = 15,
	FIELD_RESIDENT_PAGES = 24,
	MS_PER_S = 1000,
	BYTES_PER_KB = 1024,
};

static double get_stat_field(const char *text, int number)
{
	const char *cursor = strrchr(text, ')');
	int i;

	for (i = FIELD_AFTER_NAME - 1; cursor && i < number; i++)
		cursor = strchr(cursor + 1, ' ');
	return cursor ? strtod(cursor + 1, NULL) : 0;
}

usage_t usage_read(pid_t pid)
{
	double tick = (double)MS_PER_S / (double)sysconf(_SC_CLK_TCK);
	double page = (double)sysconf(_SC_PAGESIZE) / BYTES_PER_KB;
	char path[PATH_SIZE], text[TEXT_SIZE];
	usage_t usage = { 0 };
	FILE *file;
	size_t size;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return usage;
	size = fread(text, 1, sizeof(text) - 1, file);
	text[size] = '\0';
	fclose(file);
	usage.cpu_time_ms = tick * (get_stat_field(text, FIELD_USER_TIME) +
				    get_stat_field(text, FIELD_SYSTEM_TIME));
	usage.resident_kb = page * get_stat_field(text, FIELD_RESIDENT_PAGES);
	return usage;
}
