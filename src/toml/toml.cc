/*
 * Parses TOML with toml++ and builds a tree for C. The tree owns the parsed
 * table, which owns all strings, and the nodes that point into it. Exceptions
 * do not leave this file.
 */
extern "C" {
#include "mc/toml.h"
#include "text.h"
}

#define TOML_HEADER_ONLY 1
#define TOML_MAX_NESTED_VALUES MC_TOML_NESTED_MAX
#include <toml++/toml.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <new>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace
{

constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kMsPerMinute = 60 * kMsPerSecond;
constexpr int64_t kMsPerHour = 60 * kMsPerMinute;
constexpr int64_t kMsPerDay = 24 * kMsPerHour;
constexpr int64_t kNsPerMs = 1000000;

/* The root node, with the storage of all its nodes and strings. */
struct tree_t : mc_toml_node_t {
	toml::table table;
	std::deque<mc_toml_node_t> nodes;
};

/* A child and its position in the text, by which siblings are sorted. */
struct child_t {
	toml::source_position position;
	const char *key;
	const toml::node *node;
};

struct nul_byte_error_t : std::runtime_error {
	uint32_t line;
	explicit nul_byte_error_t(uint32_t error_line)
	    : std::runtime_error("expected text without NUL bytes"),
	      line(error_line)
	{
	}
};

const char *get_c_string(const std::string &text, uint32_t line)
{
	if (std::memchr(text.data(), 0, text.size()))
		throw nul_byte_error_t(line);
	return text.c_str();
}

/*
 * Returns the days since 1970-01-01 in the Gregorian calendar. Years begin in
 * March here, so that the leap day is the last day of a year.
 */
int64_t days_since_epoch(const toml::date &date)
{
	int64_t year = date.year - (date.month <= 2);
	int64_t month = (date.month + 9) % 12;
	int64_t day_of_year = (153 * month + 2) / 5 + date.day - 1;
	int64_t era = (year >= 0 ? year : year - 399) / 400;
	int64_t year_of_era = year - era * 400;
	int64_t day_of_era = year_of_era * 365 + year_of_era / 4 -
			     year_of_era / 100 + day_of_year;

	return era * 146097 + day_of_era - 719468;
}

int64_t ms_since_epoch(const toml::date_time &time)
{
	int64_t ms;

	if (!time.offset)
		return MC_TOML_TIME_LOCAL;
	ms = days_since_epoch(time.date) * kMsPerDay;
	ms += time.time.hour * kMsPerHour;
	ms += time.time.minute * kMsPerMinute;
	ms += time.time.second * kMsPerSecond;
	ms += time.time.nanosecond / kNsPerMs;
	return ms - time.offset->minutes * kMsPerMinute;
}

void fill_value(mc_toml_node_t *out, const toml::node &in)
{
	if (auto text = in.as_string()) {
		out->kind = MC_TOML_STRING;
		out->string = get_c_string(text->get(), out->line);
	} else if (auto number = in.as_integer()) {
		out->kind = MC_TOML_INTEGER;
		out->integer = number->get();
	} else if (auto real = in.as_floating_point()) {
		out->kind = MC_TOML_FLOAT;
		out->real = real->get();
	} else if (auto flag = in.as_boolean()) {
		out->kind = MC_TOML_BOOLEAN;
		out->integer = flag->get();
	} else {
		auto time = in.as_date_time();

		out->kind = MC_TOML_TIME;
		out->integer =
			time ? ms_since_epoch(time->get()) : MC_TOML_TIME_LOCAL;
	}
}

std::vector<child_t> get_children(const toml::node &in)
{
	std::vector<child_t> children;

	if (auto table = in.as_table()) {
		for (auto &&[key, node] : *table) {
			uint32_t line = key.source().begin.line;
			std::string_view text = key.str();

			if (std::memchr(text.data(), 0, text.size()))
				throw nul_byte_error_t(line);
			children.push_back(
				{ key.source().begin, text.data(), &node });
		}
		std::stable_sort(children.begin(), children.end(),
				 [](const child_t &a, const child_t &b) {
					 return a.position < b.position;
				 });
	} else if (auto array = in.as_array()) {
		for (auto &&node : *array)
			children.push_back(
				{ node.source().begin, nullptr, &node });
	}
	return children;
}

/* Fills @out, whose line is already set, and its children from @in. */
void fill_node(tree_t *tree, mc_toml_node_t *out, const toml::node &in)
{
	mc_toml_node_t **link = &out->first;

	if (!in.is_table() && !in.is_array()) {
		fill_value(out, in);
		return;
	}
	out->kind = in.is_table() ? MC_TOML_TABLE : MC_TOML_ARRAY;
	for (const child_t &child : get_children(in)) {
		mc_toml_node_t *node = &tree->nodes.emplace_back();

		node->line =
			child.position.line ? child.position.line : out->line;
		node->key = child.key;
		fill_node(tree, node, *child.node);
		*link = node;
		link = &node->next;
	}
}

mc_toml_node_t *build_tree(std::string_view text)
{
	auto tree = std::make_unique<tree_t>();

	tree->table = toml::parse(text);
	tree->line = 1;
	fill_node(tree.get(), tree.get(), tree->table);
	return tree.release();
}

} // namespace

extern "C" mc_err_t mc_toml_parse(const char *text, size_t size,
				  mc_toml_node_t **root, uint32_t *line)
{
	mc_err_t err;

	*root = nullptr;
	*line = 0;
	err = mc_toml_check_text(text, size, line);
	if (err)
		return err;
	try {
		*root = build_tree(std::string_view(text, size));
		return MC_OK;
	} catch (const toml::parse_error &error) {
		*line = error.source().begin.line;
		return mc_fail(MC_ERR_BAD_CONFIG, "%s", error.what());
	} catch (const nul_byte_error_t &error) {
		*line = error.line;
		return mc_fail(MC_ERR_BAD_CONFIG, "%s", error.what());
	} catch (const std::bad_alloc &) {
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while parsing TOML");
	} catch (const std::exception &error) {
		return mc_fail(MC_ERR_BAD_CONFIG, "%s", error.what());
	} catch (...) {
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "text cannot be parsed as TOML");
	}
}

extern "C" void mc_toml_free(mc_toml_node_t *root)
{
	delete static_cast<tree_t *>(root);
}
