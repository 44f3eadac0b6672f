/*
 * The jobs that the owner tracks: what ended tasks change, and when a job is
 * final.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Returns the job with this id, or NULL if the owner does not track it. */
struct job *sched_job_find(struct sched *s, const char *id)
{
	struct job *j;

	HASH_FIND(hh, s->jobs, id, JOB_ID_BYTES, j);
	return j;
}

/* Returns the step that a task belongs to. */
const struct job_step *task_step(const struct task *t)
{
	return &t->occ->job->body->steps[t->step];
}

/*
 * Returns the name of a task on its worker, ID.OCCURRENCE.STEP.INDEX.  The
 * caller frees it.
 */
bstr task_name(const struct task *t)
{
	return bstr_printf("%s.%u.%u.%u", t->occ->job->id, t->occ->number,
			   t->step, t->index);
}

/*
 * Looks up the route and the organisation of a job, unless that was done since
 * the configuration changed.
 */
static void job_lookup_config(const struct sched *s, struct job *j)
{
	if (j->estimate.config_serial == s->config_serial)
		return;
	j->estimate.route = route_named(s, j->route);
	j->estimate.terms = route_known(s, j->route);
	if (!j->estimate.terms && j->has_terms)
		j->estimate.terms = &j->terms;
	j->estimate.tenant = tenant_known(s, j->tenant);
	j->estimate.pool = NULL; /* the route may name another service now */
	j->estimate.config_serial = s->config_serial;
}

/*
 * Returns a job's route in the current configuration, or NULL if it has been
 * removed.
 */
const struct route *job_route(const struct sched *s, struct job *j)
{
	job_lookup_config(s, j);
	return j->estimate.route;
}

/*
 * Returns the terms of a job's route, also while the configuration lacks it:
 * those that this VM knew last, else those at the job's acceptance.  NULL if an
 * earlier version accepted it and this VM has never known its route.
 */
const struct route *job_terms(const struct sched *s, struct job *j)
{
	job_lookup_config(s, j);
	return j->estimate.terms;
}

/*
 * Returns a job's organisation, also if it has been removed, or NULL if this VM
 * has never known it.
 */
const struct tenant *job_tenant(const struct sched *s, struct job *j)
{
	job_lookup_config(s, j);
	return j->estimate.tenant;
}

/*
 * Returns the service whose workers run the job now.  If nothing is known of
 * its route, this is the service at the time the job was accepted.
 */
bstr job_service(const struct sched *s, struct job *j)
{
	const struct route *r = job_terms(s, j);

	return r ? r->service : j->service;
}

/*
 * Returns true if the store records that tasks of a job may run on workers of a
 * service: the one at the time of its acceptance needs no record.
 */
static bool job_has_service(const struct job *j, bstr service)
{
	const json_t *v;
	size_t i;

	if (bstr_eq(service, j->service))
		return true;
	json_array_foreach(j->services, i, v)
		if (bstr_eq_str(service, json_string_value(v)))
			return true;
	return false;
}

/*
 * Returns true if all runs of a job that earlier owners left are known.  They
 * can be on workers of any service that its route has named since the job was
 * accepted.  The progress row records these.  Owners of an earlier version
 * record none; they started tasks in the service that the route names now, and
 * those of their runs that are found are recorded then.
 */
bool job_is_settled(struct sched *s, struct job *j)
{
	const json_t *v;
	size_t i;

	if (j->settled)
		return true;
	if (!pool_is_settled(s, job_service(s, j)) ||
	    !pool_is_settled(s, j->service))
		return false;
	json_array_foreach(j->services, i, v)
		if (!pool_is_settled(s, bstr_lit(json_string_value(v))))
			return false;
	j->settled = true;
	return true;
}

/*
 * Returns true if no task of a job has run yet.  Only reports of workers count:
 * the owner also orders starts that workers refuse or never receive, and it
 * records that a job may run before it orders the first start.  If those
 * counted, all jobs that wait during an overload or after a takeover would seem
 * to run, and callers would be told that none waits.
 */
bool job_is_waiting(const struct job *j)
{
	return j->status <= JOB_STATUS_RUNNING && !j->run_seen;
}

/*
 * Has the store record that tasks of a job may run on workers of a service,
 * before any is started on them.
 */
void job_add_service(struct sched *s, struct job *j, bstr service)
{
	if (!service.bstr_len || job_has_service(j, service))
		return;
	if (!j->services)
		j->services = json_array();
	json_array_append_new(j->services, bstr_to_json(service));
	j->start_durable = false;
	job_mark_dirty(s, j);
}

/*
 * Returns true if the store records that tasks of a job may run, and that they
 * may do so in the service that its route names now.
 */
bool job_start_is_durable(struct sched *s, struct job *j)
{
	return j->start_durable && job_has_service(j, job_service(s, j));
}

/*
 * Returns true if tasks of a job may be started.  If not, has the start of the
 * job recorded in the store first.  A successor can start jobs without that
 * record at once, even if it can't reach some workers; otherwise it would have
 * to wait for the end of all leases, 6 s, for jobs that never began.  The cost
 * is one row per job, written together with others, and a few milliseconds of
 * delay.
 *
 * If the route has been changed to another service, the row is written once
 * more and names that service too.  A successor that can't reach some of its
 * workers doesn't start the tasks on others, even if the route has been changed
 * again.
 */
bool job_request_start(struct sched *s, struct job *j)
{
	if (job_start_is_durable(s, j))
		return true;
	job_add_service(s, j, job_service(s, j));
	if (j->status == JOB_STATUS_QUEUED) {
		s->load.job_starts++;
		j->status = JOB_STATUS_RUNNING;
		job_mark_dirty(s, j);
	}
	return false;
}

/*
 * Called when the current progress of a job has been written.  Once that
 * includes its start, its tasks may be placed.
 */
void job_mark_durable(struct sched *s, struct job *j)
{
	if (j->start_durable || j->dirty_seq || j->status != JOB_STATUS_RUNNING)
		return;
	j->start_durable = true;
	s->place_due = true;
	flow_add_begun(s, j);
}

/*
 * Changes the phase of a task and updates the count of pending tasks of its
 * step.
 */
void task_set_phase(struct task *t, enum run_phase phase)
{
	struct pending_tasks *p = &t->occ->pending_tasks[t->step];

	if (t->phase == PHASE_PENDING)
		p->count--;
	if (phase == PHASE_PENDING)
		p->count++;
	t->phase = phase;
}

/* Delays the placement of a task until the given time. */
void task_delay(struct task *t, int64_t until)
{
	struct pending_tasks *p = &t->occ->pending_tasks[t->step];

	t->not_before = until;
	if (until > p->retry_at_max)
		p->retry_at_max = until;
}

/*
 * Queues a job for the placement passes.  Must be called whenever a task of it
 * becomes pending, or a step of it ready; otherwise the task would never be
 * placed.  A pass removes the jobs that have neither.
 */
void job_queue_placing(struct sched *s, struct job *j)
{
	if (j->in_placing)
		return;
	j->in_placing = true;
	TAILQ_INSERT_TAIL(&s->placing, j, placing);
}

/* Removes a job from the queue of the placement passes. */
void job_unqueue_placing(struct sched *s, struct job *j)
{
	if (!j->in_placing)
		return;
	j->in_placing = false;
	TAILQ_REMOVE(&s->placing, j, placing);
}

/*
 * Returns the time since which a pending task has been ready, or 0 if it is
 * not.
 */
int64_t task_ready_at(const struct task *t)
{
	return t->ready_at ? t->ready_at
			   : t->occ->pending_tasks[t->step].ready_at;
}

/*
 * Removes a job's tasks from the lists of their workers, without stopping them.
 */
static void job_unplace_tasks(struct sched *s, struct job *j)
{
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].worker)
				task_unplace(s, &o->tasks[i]);
	}
}

/* Frees a job and removes it from all lists. */
void sched_job_free(struct sched *s, struct job *j)
{
	struct occurrence *o;

	job_unplace_tasks(s, j);
	commit_forget(s, j);
	if (j->status <= JOB_STATUS_RUNNING)
		s->open_jobs--;
	job_unqueue_placing(s, j);
	TAILQ_REMOVE(&s->jobs_by_arrival, j, entry);
	HASH_DEL(s->jobs, j);
	while ((o = TAILQ_FIRST(&j->occs)))
		occurrence_free(o);
	bstr_free(&j->tenant);
	bstr_free(&j->route);
	bstr_free(&j->service);
	json_decref(j->services);
	job_body_free(j->body);
	free(j->estimate.step_ms);
	free(j->estimate.remaining_ms);
	free(j);
}

/* Queues a job whose progress has changed for the next commit. */
void job_mark_dirty(struct sched *s, struct job *j)
{
	if (j->dirty_seq || j->recommit_seq)
		return;
	/*
	 * It is part of the commit in flight and has to be written again after
	 * that.
	 */
	if (j->commit_seq) {
		j->recommit_seq = ++s->dirty_seq;
		return;
	}
	j->dirty_seq = ++s->dirty_seq;
	TAILQ_INSERT_TAIL(&s->dirty, j, dirty);
}

/* Orders the stop of all tasks that a job has on workers. */
static void job_stop_tasks(struct sched *s, struct job *j)
{
	struct occurrence *o;
	unsigned i;

	TAILQ_FOREACH(o, &j->occs, entry) {
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].worker)
				task_stop(s, &o->tasks[i]);
	}
}

/* Gives a job its final state, unless it has one. */
void job_finish(struct sched *s, struct job *j, enum job_status status)
{
	if (j->status > JOB_STATUS_RUNNING)
		return;
	j->status = status;
	s->open_jobs--;
	j->ended = s->wall;
	j->ended_by_store = store_clock(s);
	sched_count(s,
		    status == JOB_STATUS_COMPLETED ? COUNT_JOBS_DONE
		    : status == JOB_STATUS_FAILED  ? COUNT_JOBS_FAILED
						   : COUNT_JOBS_NOT_RUN,
		    1);
	sched_log(s, LOG_JOB_FINAL,
		  "job=%s queue=%.*s state=%s starts=%u ms=%lld late_ms=%lld "
		  "chain_ms=%lld first_chain_ms=%lld",
		  j->id, BSTR_ARG(j->route), job_status_name(status), j->starts,
		  (long long)(s->now - j->arrived),
		  (long long)(j->due ? s->now - j->due : 0),
		  (long long)j->estimate.longest_ms,
		  (long long)j->estimate.first_longest_ms);
	if (!j->inherited)
		sched_observe(s, HISTOGRAM_JOB, s->now - j->arrived);
	if (status == JOB_STATUS_COMPLETED)
		flow_add_completed(s, j);
	job_stop_tasks(s, j);
	job_mark_dirty(s, j);
	s->place_due = true;
}

/*
 * Returns true if runs of a job that an earlier owner started may still be
 * unknown.  A final job has to be kept until they are found: they have to be
 * stopped, and they count towards the organisation's usage until they have
 * ended.  Without that, tasks started beside them would exceed its upper limit.
 */
bool job_may_have_unknown_runs(struct sched *s, struct job *j)
{
	return j->inherited && !s->settled && !job_is_settled(s, j);
}

/*
 * Stops tracking a job that is final, once its final state is durable and it
 * has no run left.
 */
void job_retire_if_done(struct sched *s, struct job *j)
{
	if (j->status <= JOB_STATUS_RUNNING || j->dirty_seq || j->commit_seq ||
	    j->placed || job_may_have_unknown_runs(s, j))
		return;
	retention_add(s, j->id, j->revision, j->ended_by_store);
	sched_job_free(s, j);
}

/* Handles the end of a run that completed its task. */
void job_task_done(struct sched *s, struct task *t)
{
	struct occurrence *o = t->occ;
	struct job *j = o->job;

	if (t->phase == PHASE_DONE)
		return;
	task_set_phase(t, PHASE_DONE);
	if (!--o->unfinished_in_step[t->step])
		job_queue_placing(s, j); /* other steps may be ready now */
	o->unfinished--;
	job_mark_dirty(s, j);
	if (o->unfinished)
		return;
	occurrence_judge(s, o);
	occurrence_free(o);
	if (job_is_done(j))
		job_finish(s, j, JOB_STATUS_COMPLETED);
}

/*
 * Returns the number of failed runs of a task after which its job fails.  If
 * nothing is known of its route, no configuration would have failed it sooner
 * than that: a failed job is final.
 */
static unsigned job_max_attempts(const struct sched *s, struct job *j)
{
	const struct route *r = job_terms(s, j);

	if (!r)
		return FAILED_RUNS_MAX;
	return r->attempts ? r->attempts : 1;
}

/*
 * Returns the number of failed runs that count for a task.  The tasks of a gang
 * end together, so the failures of all of them count.
 */
static unsigned task_failures(const struct task *t)
{
	const struct occurrence *o = t->occ;
	unsigned i, n = 0;

	if (!task_step(t)->gang)
		return t->failure_count;
	for (i = 0; i < task_step(t)->count; i++)
		n += o->tasks[o->first_task[t->step] + i].failure_count;
	return n;
}

/* Returns true if this failed run of a task has been counted already. */
static bool failure_is_counted(const struct task *t, uint64_t run)
{
	unsigned i;

	for (i = 0; i < t->failure_count && i < FAILED_RUNS_MAX; i++)
		if (t->failed_runs[i] == run)
			return true;
	return false;
}

/*
 * Handles the failed end of a run.  The task is no longer placed.  Ends from
 * several workers arrive in any order, and again after a takeover, so run
 * numbers are compared to count each run once.
 */
void job_task_failed(struct sched *s, struct task *t, uint64_t run)
{
	struct job *j = t->occ->job;

	if (failure_is_counted(t, run))
		return;
	if (t->failure_count < FAILED_RUNS_MAX)
		t->failed_runs[t->failure_count] = run;
	t->failure_count++;
	job_mark_dirty(s, j);
	if (task_step(t)->long_running)
		return;
	if (task_failures(t) >= job_max_attempts(s, j))
		job_finish(s, j, JOB_STATUS_FAILED);
}

/* Creates due occurrences and stops tracking jobs that are final. */
void job_tick(struct sched *s)
{
	struct job *j, *next;

	if (s->own.state != OWN_OWNER)
		return;
	for (j = TAILQ_FIRST(&s->jobs_by_arrival); j; j = next) {
		next = TAILQ_NEXT(j, entry);
		if (!j->next_occurrence || j->body->repeat_count)
			job_make_due_occurrences(s, j);
		job_retire_if_done(s, j);
	}
}
