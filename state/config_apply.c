#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hex.h"
#include "lang/schema.h"
#include "state/config.h"
#include "state/config_table.h"
#include "state/name.h"

#define HELD_BYTES 40

/* One change while it is judged. */
struct judged {
	struct config *config;
	const Currant__Change *change;
	uint64_t position;
	struct error *err;
	const struct config_table *table;
	const struct object_schema *schema;
	void *existing; /* NULL: there is none */
	uint32_t index; /* of the existing or the new element */
};

static void store_number(void *out, uint32_t number)
{
	memcpy(out, &number, sizeof(number));
}

/* Stores a value that schema_check_value() has accepted. */
static void store(const struct attribute_schema *attribute,
		  const struct config_member *member, const char *value,
		  void *object)
{
	void *out = (char *)object + member->offset;

	switch (attribute->type) {
	case ATTRIBUTE_UINT:
		store_number(out, (uint32_t)strtoul(value, NULL, 10));
		break;
	case ATTRIBUTE_BOOL:
		store_number(out, !strcmp(value, "true"));
		break;
	case ATTRIBUTE_NAME:
	case ATTRIBUTE_PATH:
		memset(out, 0, member->size);
		copy_text(out, member->size, value);
		break;
	case ATTRIBUTE_WORD:
		store_number(out, (uint32_t)schema_word_index(
					  attribute->words, value,
					  (uint32_t)strlen(value)));
		break;
	case ATTRIBUTE_WORDS:
		store_number(out, schema_word_mask(attribute->words, value));
		break;
	case ATTRIBUTE_HEX:
		hex_read(value, out, member->size);
		break;
	}
}

static int store_attribute(struct judged *judged,
			   const Currant__Attribute *given, uint32_t *seen,
			   void *object)
{
	const struct attribute_schema *attribute =
		schema_attribute(judged->schema, given->name);
	uint32_t index;

	if (!attribute) {
		char held[HELD_BYTES];

		schema_print_held(given->name, held, sizeof(held));
		return error_set(judged->err, ERROR_INVALID,
				 "%s '%s' has no attribute '%s'",
				 judged->schema->word, judged->change->name,
				 held);
	}
	index = (uint32_t)(attribute - judged->schema->attributes);
	if (*seen & UINT32_C(1) << index)
		return error_set(judged->err, ERROR_INVALID,
				 "attribute '%s' is given twice",
				 attribute->name);
	*seen |= UINT32_C(1) << index;
	if (schema_check_value(attribute, given->value, judged->err))
		return -1;
	store(attribute, &judged->table->members[index], given->value, object);
	return 0;
}

static int store_attributes(struct judged *judged, uint32_t *seen, void *object)
{
	const Currant__Change *change = judged->change;

	for (size_t i = 0; i < change->n_attributes; i++)
		if (store_attribute(judged, change->attributes[i], seen,
				    object))
			return -1;
	return 0;
}

static int check_required(struct judged *judged, uint32_t seen)
{
	for (uint32_t i = 0; i < judged->schema->attribute_count; i++)
		if (judged->schema->attributes[i].required &&
		    !(seen & UINT32_C(1) << i))
			return error_set(judged->err, ERROR_INVALID,
					 "%s '%s' needs attribute '%s'",
					 judged->schema->word,
					 judged->change->name,
					 judged->schema->attributes[i].name);
	return 0;
}

static void store_defaults(struct judged *judged, void *object)
{
	for (uint32_t i = 0; i < judged->schema->attribute_count; i++) {
		const struct attribute_schema *attribute =
			&judged->schema->attributes[i];

		if (attribute->default_value)
			store(attribute, &judged->table->members[i],
			      attribute->default_value, object);
	}
}

static int check_rules(struct judged *judged, const union config_any *object)
{
	if (!judged->table->check)
		return 0;
	return judged->table->check(judged->config, object, judged->err);
}

static int check_exists(struct judged *judged)
{
	if (judged->existing)
		return 0;
	return error_set(judged->err, ERROR_NOT_FOUND, "%s '%s' does not exist",
			 judged->schema->word, judged->change->name);
}

static int check_version(struct judged *judged)
{
	const struct config_object *existing = judged->existing;
	uint64_t version = existing ? existing->version : 0;

	if (!judged->change->has_expected_version ||
	    judged->change->expected_version == version)
		return 0;
	return error_set(judged->err, ERROR_CONFLICT,
			 "%s '%s' is at version %" PRIu64 ", not %" PRIu64,
			 judged->schema->word, judged->change->name, version,
			 judged->change->expected_version);
}

static int check_no_attributes(struct judged *judged)
{
	if (!judged->change->n_attributes)
		return 0;
	return error_set(judged->err, ERROR_INVALID,
			 "attributes have no meaning when %s '%s' goes",
			 judged->schema->word, judged->change->name);
}

static int create(struct judged *judged)
{
	union config_any object;
	uint32_t seen = 0;

	if (judged->existing)
		return error_set(judged->err, ERROR_CONFLICT,
				 "%s '%s' exists already", judged->schema->word,
				 judged->change->name);
	if (check_version(judged))
		return -1;
	memset(&object, 0, sizeof(object));
	copy_text(object.head.name, NAME_BYTES, judged->change->name);
	object.head.version = judged->position;
	store_defaults(judged, &object);
	if (store_attributes(judged, &seen, &object) ||
	    check_required(judged, seen) || check_rules(judged, &object))
		return -1;
	config_table_insert(judged->table, judged->config, judged->index,
			    &object);
	return 0;
}

static int alter(struct judged *judged)
{
	union config_any object;
	uint32_t seen = 0;

	if (check_exists(judged) || check_version(judged))
		return -1;
	if (!judged->change->n_attributes)
		return error_set(judged->err, ERROR_INVALID,
				 "no attribute of %s '%s' is given",
				 judged->schema->word, judged->change->name);
	memset(&object, 0, sizeof(object));
	memcpy(&object, judged->existing, judged->table->element_size);
	object.head.version = judged->position;
	if (store_attributes(judged, &seen, &object) ||
	    check_rules(judged, &object))
		return -1;
	memcpy(judged->existing, &object, judged->table->element_size);
	return 0;
}

static int drop(struct judged *judged)
{
	const struct config_table *table = judged->table;

	if (check_exists(judged) || check_version(judged) ||
	    check_no_attributes(judged))
		return -1;
	if (table->check_drop &&
	    table->check_drop(judged->config, judged->existing, judged->err))
		return -1;
	config_table_remove(table, judged->config, judged->index);
	return 0;
}

static int grant(struct judged *judged)
{
	const struct key *key = judged->existing;

	if (key && key->withdrawn)
		return error_set(judged->err, ERROR_CONFLICT,
				 "key '%s' was withdrawn and cannot be granted "
				 "again",
				 key->id);
	return create(judged);
}

/* The withdrawn key stays, so that its id never comes back to life. */
static int withdraw(struct judged *judged)
{
	struct key *key = judged->existing;

	if (check_exists(judged) || check_version(judged) ||
	    check_no_attributes(judged))
		return -1;
	if (key->withdrawn)
		return error_set(judged->err, ERROR_CONFLICT,
				 "key '%s' is withdrawn already", key->id);
	key->withdrawn = 1;
	key->version = judged->position;
	return 0;
}

struct verb_rule {
	Currant__ChangeVerb verb;
	const char *word;
	int of_keys; /* keys are granted and withdrawn, others are not */
	int (*apply)(struct judged *judged);
};

#define VERB(id) CURRANT__CHANGE_VERB__CHANGE_VERB_##id

static const struct verb_rule verb_rules[] = {
	{ VERB(CREATE), "create", 0, create },
	{ VERB(ALTER), "alter", 0, alter },
	{ VERB(DROP), "drop", 0, drop },
	{ VERB(GRANT), "grant", 1, grant },
	{ VERB(WITHDRAW), "withdraw", 1, withdraw },
};

static const struct verb_rule *find_verb(Currant__ChangeVerb verb)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(verb_rules); i++)
		if (verb_rules[i].verb == verb)
			return &verb_rules[i];
	return NULL;
}

static int check_form(struct judged *judged, const struct verb_rule *verb)
{
	Currant__ObjectKind kind = judged->change->kind;

	if (!verb)
		return error_set(judged->err, ERROR_INVALID,
				 "unknown verb %d of a change",
				 (int)judged->change->verb);
	if (!judged->table || !judged->schema)
		return error_set(judged->err, ERROR_INVALID,
				 "unknown kind %d of object", (int)kind);
	if (verb->of_keys != (kind == CURRANT__OBJECT_KIND__OBJECT_KIND_KEY))
		return error_set(judged->err, ERROR_INVALID,
				 "'%s' has no meaning for a %s", verb->word,
				 judged->schema->word);
	if (!name_is_valid(judged->change->name))
		return error_set(judged->err, ERROR_INVALID,
				 "a %s must have %s", judged->schema->word,
				 NAME_EXPECTED);
	return 0;
}

int config_apply(struct config *config, const Currant__Change *change,
		 uint64_t position, struct error *err)
{
	const struct verb_rule *verb = find_verb(change->verb);
	struct judged judged = {
		.config = config,
		.change = change,
		.position = position,
		.err = err,
		.table = config_table(change->kind),
		.schema = schema_object(change->kind),
	};

	if (check_form(&judged, verb))
		return -1;
	judged.existing = config_table_find(judged.table, config, change->name,
					    &judged.index);
	if (verb->apply(&judged))
		return -1;
	config->position = position;
	return 0;
}
