/*
 * Writes the fields of a message as msgpack.
 */
#include "writer.h"

#include <string.h>

void mc_writer_init(mc_writer_t *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
	writer->failed = false;
}

void mc_write_array(mc_writer_t *writer, uint32_t size)
{
	writer->failed |= msgpack_pack_array(&writer->packer, size) < 0;
}

void mc_write_u64(mc_writer_t *writer, uint64_t value)
{
	writer->failed |= msgpack_pack_uint64(&writer->packer, value) < 0;
}

void mc_write_ms(mc_writer_t *writer, mc_ms_t value)
{
	writer->failed |= msgpack_pack_int64(&writer->packer, value) < 0;
}

void mc_write_bool(mc_writer_t *writer, bool value)
{
	int result = value ? msgpack_pack_true(&writer->packer)
			   : msgpack_pack_false(&writer->packer);

	writer->failed |= result < 0;
}

void mc_write_double(mc_writer_t *writer, double value)
{
	writer->failed |= msgpack_pack_double(&writer->packer, value) < 0;
}

void mc_write_string(mc_writer_t *writer, const char *text)
{
	size_t size = text ? strlen(text) : 0;

	writer->failed |= msgpack_pack_str(&writer->packer, size) < 0;
	writer->failed |= msgpack_pack_str_body(&writer->packer,
						text ? text : "", size) < 0;
}
