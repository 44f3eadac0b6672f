#include "cmd.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* The popt value of a field's option is this plus the index of the field. */
#define FIELD_VAL_BASE 1000
#define CMD_NAME_MAX 128

static const struct command *const tables[] = {
	pool_commands,	team_commands,	 config_commands,
	trace_commands, submit_commands,
};

/* Returns true if a field is an option, false if it is an argument. */
static bool field_is_option(const struct cmd_field *f)
{
	return f->name[0] == '-';
}

/*
 * Looks up a command by its first one or two words and stores how many in
 * used.  Returns NULL if there is none.
 */
const struct command *command_find(const char *const *words, size_t *used)
{
	const struct command *cmd;
	char *two;
	size_t i;

	if (!words || !words[0])
		return NULL;
	two = xasprintf("%s %s", words[0], words[1] ? words[1] : "");
	for (i = 0; i < NELEMS(tables); i++)
		for (cmd = tables[i]; cmd->name; cmd++) {
			if (strcmp(cmd->name, two) == 0)
				*used = 2;
			else if (strcmp(cmd->name, words[0]) == 0)
				*used = 1;
			else
				continue;
			free(two);
			return cmd;
		}
	free(two);
	return NULL;
}

/* Parses a decimal integer of at most max. */
static bool number_parse(const char *text, uint64_t max, uint64_t *n)
{
	char *end;

	if (!isdigit((unsigned char)*text))
		return false;
	errno = 0;
	*n = strtoull(text, &end, 10);
	return !errno && !*end && *n <= max;
}

/* Appends a name to a list. */
static void names_add(struct cmd_names *names, bstr name)
{
	names->list = xrealloc(names->list, names->count + 1,
			       sizeof(*names->list));
	names->list[names->count++] = bstr_copy(name);
}

/* Reads a file and checks that it is JSON. */
static void json_file_read(const char *path, bstr *to, struct error *e)
{
	json_error_t je;
	json_t *j;
	char *location;

	if (!file_read(path, to, e))
		return;
	j = json_loadb(to->bstr_val ? to->bstr_val : "", to->bstr_len,
		       JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, &je);
	if (!j) {
		location = xasprintf("%s:%d:%d", path, je.line, je.column);
		error_add(e, location, "no JSON: %s", je.text);
		free(location);
	}
	json_decref(j);
}

/* Parses a word of the command line and stores it as the value of a field. */
static void field_parse(const struct cmd_field *f, const char *text,
			union cmd_values *v, struct error *e)
{
	void *to = (char *)v + f->offset;
	bstr b = bstr_lit(text);
	uint64_t n;

	switch (f->type) {
	case FIELD_NAME:
	case FIELD_NAMES:
		if (!bstr_is_name(b, CMD_NAME_MAX))
			error_add(e, f->name,
				  "expected a name: [a-z0-9._-]+, the first "
				  "a letter or digit");
		else if (f->type == FIELD_NAME)
			bstr_set(to, b);
		else
			names_add(to, b);
		break;
	case FIELD_TEXT:
		bstr_set(to, b);
		break;
	case FIELD_FILE:
		bstr_free(to);
		json_file_read(text, to, e);
		break;
	case FIELD_U32:
		if (number_parse(text, UINT32_MAX, &n))
			*(uint32_t *)to = (uint32_t)n;
		else
			error_add(e, f->name, "expected a whole number");
		break;
	case FIELD_U64:
		if (number_parse(text, UINT64_MAX, &n))
			*(uint64_t *)to = n;
		else
			error_add(e, f->name, "expected a whole number");
		break;
	case FIELD_FLAG:
		*(bool_t *)to = TRUE;
		break;
	}
}

/*
 * Returns the popt table of a command: its options, the common options and
 * --help.
 */
static struct poptOption *options_new(const struct command *cmd,
				      const struct poptOption *common)
{
	const struct poptOption tail[] = {{NULL, '\0', POPT_ARG_INCLUDE_TABLE,
					   (void *)common, 0,
					   "Common options:", NULL},
					  POPT_AUTOHELP POPT_TABLEEND};
	struct poptOption *table;
	size_t i, n = 0;

	for (i = 0; cmd->fields[i].name; i++)
		;
	table = xcalloc(i + NELEMS(tail), sizeof(*table));
	for (i = 0; cmd->fields[i].name; i++) {
		const struct cmd_field *f = &cmd->fields[i];

		if (!field_is_option(f))
			continue;
		table[n].longName = f->name + 2;
		table[n].argInfo = f->type == FIELD_FLAG ? POPT_ARG_NONE
							 : POPT_ARG_STRING;
		table[n].val = FIELD_VAL_BASE + (int)i;
		table[n].descrip = f->help;
		table[n].argDescrip = f->type == FIELD_FLAG   ? NULL
				      : f->type == FIELD_U32  ? "N"
				      : f->type == FIELD_U64  ? "N"
				      : f->type == FIELD_FILE ? "FILE"
							      : "TEXT";
		n++;
	}
	memcpy(table + n, tail, sizeof(tail));
	return table;
}

/* Parses the options and sets the bit of each of them in seen. */
static void options_parse(const struct command *cmd, poptContext c,
			  union cmd_values *v, uint64_t *seen, struct error *e)
{
	char *arg;
	int rc;

	while ((rc = poptGetNextOpt(c)) > 0) {
		if (rc < FIELD_VAL_BASE)
			continue;
		rc -= FIELD_VAL_BASE;
		arg = poptGetOptArg(c);
		field_parse(&cmd->fields[rc], arg ? arg : "", v, e);
		*seen |= (uint64_t)1 << rc;
		free(arg);
	}
	if (rc < -1)
		error_add(e, poptBadOption(c, 0), "%s", poptStrerror(rc));
}

/* Parses the arguments, in the order of their fields. */
static void arguments_parse(const struct command *cmd, poptContext c,
			    union cmd_values *v, uint64_t *seen,
			    struct error *e)
{
	const char *arg;
	size_t i;

	for (i = 0; cmd->fields[i].name; i++) {
		if (field_is_option(&cmd->fields[i]))
			continue;
		arg = poptGetArg(c);
		if (!arg)
			break;
		field_parse(&cmd->fields[i], arg, v, e);
		*seen |= (uint64_t)1 << i;
	}
	while ((arg = poptGetArg(c)))
		error_add(e, arg, "unexpected argument");
}

/*
 * Parses the command line of a command; argv[0] is the last word of its name.
 * Adds every error to e.  The caller calls command_free in any case.
 */
bool command_parse(const struct command *cmd, const struct poptOption *common,
		   int argc, const char **argv, union cmd_values *v,
		   struct error *e)
{
	struct poptOption *table = options_new(cmd, common);
	const char **words = xcalloc((size_t)argc + 1, sizeof(*words));
	char *usage = command_usage(cmd);
	uint64_t seen = 0;
	poptContext c;
	size_t i;

	memset(v, 0, sizeof(*v));
	/* popt uses the first word as the program's name */
	memcpy(words, argv, (size_t)argc * sizeof(*words));
	words[0] = "bamboofront";
	c = poptGetContext("bamboofront", argc, words, table, 0);
	poptSetOtherOptionHelp(c, usage);
	options_parse(cmd, c, v, &seen, e);
	arguments_parse(cmd, c, v, &seen, e);
	for (i = 0; cmd->fields[i].name; i++)
		if (cmd->fields[i].required && !(seen & (uint64_t)1 << i))
			error_add(e, cmd->fields[i].name, "is missing");
	if (cmd->kind)
		v->request.kind = cmd->kind;
	poptFreeContext(c);
	free(usage);
	free(words);
	free(table);
	return !e->count;
}

/* Frees the values of a command's fields. */
void command_free(const struct command *cmd, union cmd_values *v)
{
	const struct cmd_field *f;
	struct cmd_names *names;

	for (f = cmd->fields; f->name; f++) {
		void *at = (char *)v + f->offset;

		if (f->type == FIELD_NAMES) {
			names = at;
			while (names->count)
				bstr_free(&names->list[--names->count]);
			free(names->list);
			names->list = NULL;
		} else if (f->type <= FIELD_FILE)
			bstr_free(at);
	}
}

/* Returns the usage of a command, such as "vm drain VM [--deadline N]". */
char *command_usage(const struct command *cmd)
{
	const struct cmd_field *f;
	char *text = xstrdup(cmd->name), *next;
	const char *value;

	for (f = cmd->fields; f->name; f++) {
		value = !field_is_option(f) || f->type == FIELD_FLAG   ? ""
			: f->type == FIELD_U32 || f->type == FIELD_U64 ? " N"
			: f->type == FIELD_FILE			       ? " FILE"
			: f->type == FIELD_NAMES ? " NAME..."
						 : " TEXT";
		next = xasprintf("%s %s%s%s%s", text, f->required ? "" : "[",
				 f->name, value, f->required ? "" : "]");
		free(text);
		text = next;
	}
	return text;
}

/* Prints the usage and description of every command. */
void commands_print(FILE *out)
{
	const struct command *cmd;
	char *usage;
	size_t i;

	for (i = 0; i < NELEMS(tables); i++)
		for (cmd = tables[i]; cmd->name; cmd++) {
			usage = command_usage(cmd);
			fprintf(out, "  %s\n      %s\n", usage, cmd->help);
			free(usage);
		}
}
