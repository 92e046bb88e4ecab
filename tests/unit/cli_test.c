/*
 * Unit tests of the cli library.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "mc/base.h"
#include "mc/cli.h"

/* Runs a command on a temporary file that contains @text. */
static int run(int (*command)(int, char **), const char *text)
{
	char name[] = "cli_test_XXXXXX";
	char *argv[] = { "command", name, NULL };
	int file = mkstemp(name), status;

	assert_true(file >= 0);
	assert_int_equal(write(file, text, strlen(text)), strlen(text));
	close(file);
	status = command(2, argv);
	unlink(name);
	return status;
}

static void test_exit_statuses(void **state)
{
	static int (*const commands[])(int, char **) = { mc_cli_check,
							 mc_cli_print };
	char *absent_file[] = { "command", "no-such-folder/no-such-file",
				NULL };
	char *folder[] = { "command", ".", NULL };
	char *help[] = { "command", "--help", NULL };
	char *unknown[] = { "command", "--force", "x", NULL };
	size_t i;

	(void)state;
	for (i = 0; i < MC_ARRAY_LEN(commands); i++) {
		assert_int_equal(run(commands[i], "submission = 'a'\n"),
				 MC_CLI_OK);
		assert_int_equal(run(commands[i], "submission = 1\n"),
				 MC_CLI_BAD_INPUT);
		assert_int_equal(run(commands[i], "[[service\n"),
				 MC_CLI_BAD_INPUT);
		assert_int_equal(commands[i](2, absent_file), MC_CLI_IO);
		assert_int_equal(commands[i](2, folder), MC_CLI_IO);
		assert_int_equal(commands[i](1, help), MC_CLI_BAD_INPUT);
		assert_int_equal(commands[i](2, help), MC_CLI_OK);
		assert_int_equal(commands[i](3, unknown), MC_CLI_BAD_INPUT);
	}
}

/* "check" must reject a move that is due in the past; "print" accepts it. */
static void test_only_check_rejects_past_moves(void **state)
{
	static const char text[] =
		"[[data_center]]\nname = 'a'\n"
		"[[service]]\nname = 's'\ndeadline_ms = 1\n"
		"[[layout]]\nservice = 's'\nname = 'l'\ndocuments = [1]\n"
		"[[target]]\nservice = 's'\nlayout = 'l'\nshard = 0\n"
		"data_center = 'a'\nversion = 'x'\naddress = '10.0.0.1:1'\n"
		"[[target]]\nservice = 's'\nlayout = 'l'\nshard = 0\n"
		"data_center = 'a'\nversion = 'y'\naddress = '10.0.0.2:1'\n"
		"[[move]]\nservice = 's'\nfrom = 'x'\nto = 'y'\n"
		"start = 1971-01-01T00:00:00Z\n"
		"done_by = 1971-01-02T00:00:00Z\n";

	(void)state;
	assert_int_equal(run(mc_cli_check, text), MC_CLI_BAD_INPUT);
	assert_int_equal(run(mc_cli_print, text), MC_CLI_OK);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exit_statuses),
		cmocka_unit_test(test_only_check_rejects_past_moves),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
