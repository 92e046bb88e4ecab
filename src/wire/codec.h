/*
 * Codecs: one per kind of message, except that the CONFIG kinds share one. A
 * codec encodes and decodes the fields that follow the kind.
 */
#ifndef MC_WIRE_CODEC_H
#define MC_WIRE_CODEC_H

#include "mc/wire.h"
#include "reader.h"
#include "writer.h"

/**
 * struct mc_codec_t - Encoder and decoder of one kind of message
 * @fields: number of fields after the kind
 * @encode: writes the fields
 * @decode: reads the fields; a failure is recorded in the reader
 */
typedef struct mc_codec_t {
	uint32_t fields;
	void (*encode)(mc_writer_t *writer, const mc_wire_message_t *message);
	void (*decode)(mc_reader_t *reader, mc_wire_message_t *message);
} mc_codec_t;

extern const mc_codec_t mc_codec_hello;
extern const mc_codec_t mc_codec_query;
extern const mc_codec_t mc_codec_results;
extern const mc_codec_t mc_codec_cancel;
extern const mc_codec_t mc_codec_report;
extern const mc_codec_t mc_codec_run;
extern const mc_codec_t mc_codec_run_result;
extern const mc_codec_t mc_codec_member;
extern const mc_codec_t mc_codec_config;
extern const mc_codec_t mc_codec_move;
extern const mc_codec_t mc_codec_relay_state;
extern const mc_codec_t mc_codec_relay_changes;
extern const mc_codec_t mc_codec_relay_evidence;

#endif
