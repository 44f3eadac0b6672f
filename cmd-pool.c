#include "cmd.h"

/* Commands for pools, VMs and maintenance waves. */

#define POOL(field) offsetof(op_request, op_request_u.pool.field)
#define VM(field) offsetof(op_request, op_request_u.vm.field)
#define WAVE(field) offsetof(op_request, op_request_u.wave.field)

static const struct cmd_field pool_create[] = {
	{"POOL", FIELD_NAME, true, POOL(pool), NULL},
	{"--dc", FIELD_NAMES, true, POOL(dcs), "a data centre of the pool"},
	{"--budget", FIELD_U32, true, POOL(budget),
	 "maximum number of VMs out of service at once"},
	{"--spare", FIELD_FLAG, false, POOL(spare), "this is the spare pool"},
	{0}};
static const struct cmd_field pool_name[] = {
	{"POOL", FIELD_NAME, true, POOL(pool), NULL}, {0}};
static const struct cmd_field pool_show[] = {
	{"POOL", FIELD_NAME, false, POOL(pool), NULL}, {0}};
static const struct cmd_field pool_budget[] = {
	{"POOL", FIELD_NAME, true, POOL(pool), NULL},
	{"BUDGET", FIELD_U32, true, POOL(budget), NULL},
	{0}};

static const struct cmd_field vm_add[] = {
	{"VM", FIELD_NAME, true, VM(vm), NULL},
	{"POOL", FIELD_NAME, true, VM(pool), NULL},
	{"--dc", FIELD_NAME, true, VM(dc), "its data centre"},
	{"--address", FIELD_TEXT, true, VM(address), "IP:PORT of its worker"},
	{"--rack", FIELD_NAME, false, VM(rack), "its rack"},
	{"--slots", FIELD_U32, false, VM(slots),
	 "maximum number of concurrent tasks"},
	{"--cpu-milli", FIELD_U32, false, VM(cpu_milli),
	 "its CPU capacity, in thousandths of a processor"},
	{"--memory-mb", FIELD_U32, false, VM(memory_mb), "its memory, in MB"},
	{"--accelerators", FIELD_U32, false, VM(accelerators),
	 "its number of accelerators"},
	{0}};
static const struct cmd_field vm_name[] = {
	{"VM", FIELD_NAME, true, VM(vm), NULL}, {0}};
static const struct cmd_field vm_show[] = {
	{"VM", FIELD_NAME, false, VM(vm), NULL}, {0}};
static const struct cmd_field vm_move[] = {
	{"VM", FIELD_NAME, true, VM(vm), NULL},
	{"POOL", FIELD_NAME, true, VM(pool), NULL},
	{"--deadline", FIELD_U32, false, VM(deadline_ms),
	 "ms that its tasks have left to finish"},
	{0}};
static const struct cmd_field vm_drain[] = {
	{"VM", FIELD_NAME, true, VM(vm), NULL},
	{"--deadline", FIELD_U32, false, VM(deadline_ms),
	 "ms that its tasks have left to finish"},
	{0}};

static const struct cmd_field wave_plan[] = {
	{"WAVE", FIELD_NAME, true, WAVE(wave), NULL},
	{"POOL", FIELD_NAME, true, WAVE(pool), NULL},
	{"--deadline", FIELD_U32, false, WAVE(deadline_ms),
	 "ms that the tasks of a VM have left to finish"},
	{0}};
static const struct cmd_field wave_name[] = {
	{"WAVE", FIELD_NAME, true, WAVE(wave), NULL}, {0}};
static const struct cmd_field wave_show[] = {
	{"WAVE", FIELD_NAME, false, WAVE(wave), NULL}, {0}};

const struct command pool_commands[] = {
	{"pool create", pool_create, operator_exec, OP_POOL_CREATE, true,
	 "create a pool"},
	{"pool remove", pool_name, operator_exec, OP_POOL_REMOVE, true,
	 "remove a pool without VMs"},
	{"pool show", pool_show, operator_exec, OP_POOL_SHOW, false,
	 "show one pool or all"},
	{"pool budget", pool_budget, operator_exec, OP_POOL_BUDGET, true,
	 "set how many VMs of a pool may be out of service at once"},
	{"vm add", vm_add, operator_exec, OP_VM_ADD, true,
	 "put a new VM into a pool"},
	{"vm remove", vm_name, operator_exec, OP_VM_REMOVE, true,
	 "remove a drained VM"},
	{"vm move", vm_move, operator_exec, OP_VM_MOVE, true,
	 "drain a VM and put it into another pool"},
	{"vm drain", vm_drain, operator_exec, OP_VM_DRAIN, true,
	 "give a VM no new work and let its tasks finish"},
	{"vm return", vm_name, operator_exec, OP_VM_RETURN, true,
	 "give a drained VM work again"},
	{"vm show", vm_show, operator_exec, OP_VM_SHOW, false,
	 "show one VM or all"},
	{"wave plan", wave_plan, operator_exec, OP_WAVE_PLAN, true,
	 "plan maintenance of a pool's VMs"},
	{"wave start", wave_name, operator_exec, OP_WAVE_START, true,
	 "start a planned wave"},
	{"wave pause", wave_name, operator_exec, OP_WAVE_PAUSE, true,
	 "stop draining further VMs for now"},
	{"wave resume", wave_name, operator_exec, OP_WAVE_RESUME, true,
	 "continue a paused wave"},
	{"wave cancel", wave_name, operator_exec, OP_WAVE_CANCEL, true,
	 "end a wave and return its VMs"},
	{"wave show", wave_show, operator_exec, OP_WAVE_SHOW, false,
	 "show one wave or all"},
	{0}};
