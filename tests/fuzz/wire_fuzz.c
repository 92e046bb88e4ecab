/*
 * Fuzzes the decoder with valid messages, corrupted messages and arbitrary
 * bytes. Every message that decodes must encode to a msgpack value equal to the
 * input, as compared by msgpack-c's own parser. A message within the bounds
 * must decode. The memory allocated must be in proportion to the input.
 */
#include <msgpack.h>
#include <sanitizer/allocator_interface.h>
#include <string.h>

#include "fuzz_input.h"
#include "mc/wire.h"

enum {
	/* Bytes that decoding may allocate per input byte, and in addition. */
	MEMORY_PER_BYTE = 128,
	MEMORY_BASE = 64 << 10,
};

/*
 * Fields of each kind: n number, k number below 4, c class, t time, b bool, d
 * double, s string, ( ) array, * list of the next field, 8 list of eight of it.
 */
static const char *const shapes[] = {
	[MC_WIRE_HELLO] = "ksb",
	[MC_WIRE_QUERY] = "sssskct*(nnkb)",
	[MC_WIRE_RESULT] = "*(nkst*(sd))",
	[MC_WIRE_CANCEL] = "*n",
	[MC_WIRE_REPORT] = "*(nbbb*s)",
	[MC_WIRE_RUN] = "nsssnst",
	[MC_WIRE_RUN_RESULT] = "nks",
	[MC_WIRE_MEMBER] = "knn(nssbknt)*(nssbknt)",
	[MC_WIRE_CONFIG] = "nsst",
	[MC_WIRE_CONFIG_DIGEST] = "nsst",
	[MC_WIRE_CONFIG_REQUEST] = "nsst",
	[MC_WIRE_MOVE] = "nnbbs8(nnnnnnnnnnnnnnnnnn)",
	[MC_WIRE_RELAY_STATE] = "b*n*n",
	[MC_WIRE_RELAY_CHANGES] = "kns",
	[MC_WIRE_RELAY_EVIDENCE] = "*(kkbk)",
};

static size_t allocated;
/* Generated strings are shorter than this. */
static uint32_t string_bound;
/*
 * Generated lists have fewer elements than this; each claims to have
 * list_factor times as many as it has.
 */
static uint32_t list_bound;
static uint32_t list_factor;

static void on_malloc(const volatile void *block, size_t size)
{
	(void)block;
	allocated += size;
}

static void on_free(const volatile void *block)
{
	(void)block;
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return !__sanitizer_install_malloc_and_free_hooks(on_malloc, on_free);
}

static const char *write_field(msgpack_packer *packer, const char *shape,
			       fuzz_input_t *input);

/* Counts the fields up to the closing bracket or the end. */
static uint32_t count_fields(const char *shape)
{
	uint32_t depth = 0, count = 0;

	for (; *shape && (depth || *shape != ')'); shape++) {
		if (*shape == ')')
			depth--;
		else if (!depth && *shape != '*' && *shape != '8')
			count++;
		if (*shape == '(')
			depth++;
	}
	return count;
}

static const char *write_list(msgpack_packer *packer, const char *shape,
			      uint32_t count, fuzz_input_t *input)
{
	msgpack_sbuffer none;
	msgpack_packer skip;
	const char *end;

	msgpack_pack_array(packer, count * list_factor);
	while (count--)
		write_field(packer, shape, input);
	msgpack_sbuffer_init(&none);
	msgpack_packer_init(&skip, &none, msgpack_sbuffer_write);
	end = write_field(&skip, shape, &(fuzz_input_t){ 0 });
	msgpack_sbuffer_destroy(&none);
	return end;
}

static const char *write_array(msgpack_packer *packer, const char *shape,
			       fuzz_input_t *input)
{
	msgpack_pack_array(packer, count_fields(shape));
	while (*shape != ')')
		shape = write_field(packer, shape, input);
	return shape + 1;
}

static void write_number(msgpack_packer *packer, fuzz_input_t *input)
{
	msgpack_pack_uint64(packer, UINT64_MAX >> fuzz_below(input, 64));
}

static void write_string(msgpack_packer *packer, fuzz_input_t *input)
{
	char text[2 * MC_WIRE_ID_SIZE];
	uint32_t size = fuzz_below(input, string_bound);

	memset(text, 'a' + fuzz_below(input, 26), sizeof(text));
	msgpack_pack_str_with_body(packer, text, size);
}

/* Writes one field and returns the shape of the fields after it. */
static const char *write_field(msgpack_packer *packer, const char *shape,
			       fuzz_input_t *input)
{
	switch (*shape++) {
	case '*':
		return write_list(packer, shape, fuzz_below(input, list_bound),
				  input);
	case '8':
		return write_list(packer, shape, 8, input);
	case '(':
		return write_array(packer, shape, input);
	case 'k':
		msgpack_pack_uint32(packer, fuzz_below(input, 4));
		break;
	case 'c':
		msgpack_pack_uint32(packer,
				    fuzz_below(input, MC_WIRE_CLASS_COUNT));
		break;
	case 't':
		msgpack_pack_int64(packer, (int8_t)fuzz_u8(input) * 1000L);
		break;
	case 'b':
		fuzz_u8(input) & 1 ? msgpack_pack_true(packer)
				   : msgpack_pack_false(packer);
		break;
	case 'd':
		msgpack_pack_double(packer, (int8_t)fuzz_u8(input) / 3.0);
		break;
	case 's':
		write_string(packer, input);
		break;
	default:
		write_number(packer, input);
	}
	return shape;
}

static void write_message(msgpack_sbuffer *buffer, fuzz_input_t *input)
{
	uint32_t kind = 1 + fuzz_below(input, MC_WIRE_RELAY_EVIDENCE);
	const char *shape = shapes[kind];
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 1 + count_fields(shape));
	msgpack_pack_uint32(&packer, kind);
	while (*shape)
		shape = write_field(&packer, shape, input);
}

static void check_equal(const char *a, size_t a_size, const char *b,
			size_t b_size)
{
	msgpack_unpacked first, second;

	msgpack_unpacked_init(&first);
	msgpack_unpacked_init(&second);
	FUZZ_CHECK(msgpack_unpack_next(&first, a, a_size, NULL) > 0 &&
			   msgpack_unpack_next(&second, b, b_size, NULL) > 0,
		   "a message that decodes is valid msgpack");
	FUZZ_CHECK(msgpack_object_equal(first.data, second.data),
		   "a decoded message encodes to an equal message");
	msgpack_unpacked_destroy(&first);
	msgpack_unpacked_destroy(&second);
}

static mc_err_t check_decode(const char *data, size_t size)
{
	mc_wire_message_t *message;
	char *encoded;
	size_t encoded_size;
	mc_err_t err;

	allocated = 0;
	err = mc_wire_decode(data, size, &message);
	FUZZ_CHECK(allocated <= size * MEMORY_PER_BYTE + MEMORY_BASE,
		   "memory is in proportion to the input");
	if (err) {
		FUZZ_CHECK(err == MC_ERR_BAD_FRAME && !message,
			   "decoding fails with MC_ERR_BAD_FRAME only");
		return err;
	}
	FUZZ_CHECK(!mc_wire_encode(message, &encoded, &encoded_size),
		   "a decoded message can be encoded");
	check_equal(data, size, encoded, encoded_size);
	free(encoded);
	mc_wire_free(message);
	return MC_OK;
}

/*
 * Corrupts a message. Mode 0 truncates it, mode 1 appends a byte, and a mode of
 * n above 1 overwrites n - 1 bytes.
 */
static void corrupt(msgpack_sbuffer *buffer, uint32_t mode, fuzz_input_t *input)
{
	switch (mode) {
	case 0:
		buffer->size -= 1 + fuzz_u8(input) % buffer->size;
		break;
	case 1:
		msgpack_sbuffer_write(buffer, "\x90", 1);
		break;
	default:
		for (; mode > 1; mode--)
			buffer->data[fuzz_u8(input) * 31 % buffer->size] =
				(char)fuzz_u8(input);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	uint32_t mode = fuzz_below(&input, 8);
	msgpack_sbuffer buffer;
	mc_err_t err;

	if (!mode) {
		check_decode((const char *)input.data, input.size);
		return 0;
	}
	list_bound = MC_MEMBER_UPDATES_MAX + (mode < 7 ? 1 : 9);
	list_factor = mode < 7 ? 1 : 1 + fuzz_below(&input, 2) * UINT16_MAX;
	string_bound = mode < 7 ? MC_MEMBER_NAME_SIZE : MC_WIRE_ID_SIZE + 20;
	msgpack_sbuffer_init(&buffer);
	write_message(&buffer, &input);
	if (mode > 3 && mode < 7)
		corrupt(&buffer, mode - 4, &input);
	err = check_decode(buffer.data, buffer.size);
	FUZZ_CHECK(mode > 3 || !err, "a message within the bounds decodes");
	FUZZ_CHECK(mode != 4 || err, "a truncated message is refused");
	FUZZ_CHECK(mode != 5 || err, "bytes after the message are refused");
	msgpack_sbuffer_destroy(&buffer);
	return 0;
}
