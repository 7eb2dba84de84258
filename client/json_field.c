#include "base/alloc.h"
#include "client/json_field.h"

const char *json_field_text(const json_t *object, const char *name,
			    const char *otherwise)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : otherwise;
}

uint64_t json_field_u64(const json_t *object, const char *name,
			uint64_t otherwise)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return otherwise;
	return (uint64_t)json_integer_value(value);
}

int json_field_copy(const json_t *object, const char *name, char *out,
		    size_t size)
{
	const char *text = json_field_text(object, name, NULL);

	return text ? copy_text(out, size, text) : -1;
}
