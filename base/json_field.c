#include "base/alloc.h"
#include "base/json_field.h"

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

double json_field_number(const json_t *object, const char *name,
			 double otherwise)
{
	const json_t *value = json_object_get(object, name);

	return json_is_number(value) ? json_number_value(value) : otherwise;
}

uint32_t json_field_ms(const json_t *object, const char *name, double factor)
{
	double ms = json_field_number(object, name, 0) * factor;

	if (ms <= 0)
		return 0;
	return ms >= UINT32_MAX ? UINT32_MAX : (uint32_t)ms;
}

int json_field_bool(const json_t *object, const char *name, int otherwise)
{
	const json_t *value = json_object_get(object, name);

	return json_is_boolean(value) ? json_is_true(value) : otherwise;
}

uint32_t json_field_u32(const json_t *object, const char *name,
			uint32_t otherwise)
{
	uint64_t value = json_field_u64(object, name, otherwise);

	return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

int json_field_copy(const json_t *object, const char *name, char *out,
		    size_t size)
{
	const char *text = json_field_text(object, name, NULL);

	return text ? copy_text(out, size, text) : -1;
}
