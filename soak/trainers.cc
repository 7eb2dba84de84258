// What trainers do about their batches, and what they check.
#include <jansson.h>

#include "soak/call.h"

static const int64_t SUBMIT_FOR_MS = 8000;
static const uint32_t OPEN_BATCHES = 12;
static const int MAX_ATTEMPTS = 3; // of a reward call, as its route says
static const int64_t KEPT_MS = 3000; // some batches are read again for long

void Callers::on_trainer(void *arg, int64_t)
{
	Callers *self = (Callers *)arg;
	uint32_t open = 0;

	for (auto &entry : self->batches_) {
		TrainerBatch *batch = entry.second.get();

		open += batch->ended_ms < 0 && !batch->given_up;
		if (!batch->busy && rng_below(&self->rng_, 3) == 0)
			self->step(batch);
	}
	if (self->sending_ && open < OPEN_BATCHES &&
	    rng_below(&self->rng_, 4) == 0)
		self->submit_new();
}

static std::string reward_of(const std::string &item)
{
	return item + "-reward";
}

void Callers::submit_new()
{
	std::string id = "b" + std::to_string(next_++);
	std::unique_ptr<TrainerBatch> batch(new TrainerBatch());

	batch->id = id;
	batch->events = 5 + (int)rng_below(&rng_, 40);
	batch->submitted_ms = history_->now_ms();
	batch->end_early = rng_below(&rng_, 6) == 0;
	batch->kept_ms = rng_below(&rng_, 3) == 0 ? KEPT_MS : 0;
	batch->scored = rng_below(&rng_, 2) == 0;
	for (int i = 0; i < 6; i++) {
		batch->items.push_back(id + "-" + std::to_string(i));
		by_item_[batch->items.back()] = batch.get();
		by_reward_[reward_of(batch->items.back())] = batch.get();
	}
	submit(batch.get());
	batches_[id] = std::move(batch);
}

static std::string scorer(const std::string &item)
{
	return ",\"scorer\":{\"id\":\"" + reward_of(item) +
	       "\",\"host\":\"h\",\"path\":\"/s/x\","
	       "\"body\":\"c2NvcmU=\"}";
}

static std::string submission(const TrainerBatch &batch)
{
	std::string out = "{\"step\":1,\"model\":\"m\",\"min_version\":1,"
			  "\"target_groups\":3,\"items\":[";

	for (size_t i = 0; i < batch.items.size(); i++)
		out += std::string(i ? "," : "") + "{\"id\":\"" +
		       batch.items[i] +
		       "\",\"path\":\"/b/x\",\"headers\":{\"X-Model\":\"m\","
		       "\"X-Token-Count\":\"10,100\",\"X-Prompt-Prefix\":"
		       "\"ab:10\"},\"body\":\"Ym9keQ==\",\"tokens\":50,"
		       "\"group\":\"" +
		       batch.id + "g" + std::to_string(i / 2) + "\"" +
		       (batch.scored ? scorer(batch.items[i]) : "") + "}";
	return out + "]}";
}

void Callers::submit(TrainerBatch *batch)
{
	batch->busy = true;
	call("submit", (int)rng_below(&rng_, daemons_.size()),
	     "POST /b/ HTTP/1.1\r\nX-Attempt-Id: " + batch->id +
		     "\r\nX-Deadline-Ms: 1500\r\n",
	     submission(*batch))
		->id = batch->id;
}

void Callers::on_submit(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();

	batch->busy = false;
	history_->note("submit " + call->id + " at " +
		       std::to_string(call->daemon) + " status " +
		       std::to_string(status));
	if (status == 202 && batch->accepted_ms < 0)
		batch->accepted_ms = history_->now_ms();
	else if (status != 202 && status != 429 && status != 503)
		batch->maybe_accepted = true;
	if (status >= 400 && status < 500 && status != 429)
		history_->violation("DENIED: batch " + call->id + " got " +
				    std::to_string(status));
}

// What a trainer does next about a batch.
void Callers::step(TrainerBatch *batch)
{
	int64_t now_ms = history_->now_ms();

	if (batch->ended_ms >= 0 || batch->given_up)
		return;
	if (batch->accepted_ms < 0) {
		if (now_ms < batch->submitted_ms + SUBMIT_FOR_MS) {
			submit(batch);
			return;
		}
		batch->given_up = true;
		batch->refused = !batch->maybe_accepted;
		return;
	}
	if (batch->end_early && !batch->listed.empty())
		end(batch);
	else if (batch->listed.size() < batch->items.size())
		read(batch, rng_below(&rng_, 8) == 0);
	else if (now_ms < batch->accepted_ms + batch->kept_ms)
		read(batch, true);
	else
		end(batch);
}

void Callers::read(TrainerBatch *batch, bool from_start)
{
	size_t from = from_start ? 0 : batch->listed.size();
	Call *made;

	batch->busy = true;
	made = call("read", (int)rng_below(&rng_, daemons_.size()),
		    "GET /v1/lots/" + batch->id +
			    "?after=" + std::to_string(from) +
			    " HTTP/1.1\r\nX-Wait-Ms: 500\r\n",
		    "");
	made->id = batch->id;
	made->from = from;
}

static std::string item_text(const std::string &item, int events)
{
	std::string out;

	for (int i = 1; i <= events; i++)
		out += (i > 1 ? "\n" : "") + item + "." + std::to_string(i);
	return out;
}

void Callers::check_unasked(const TrainerBatch &batch, const std::string &id)
{
	if (batch.ended_ms >= 0 &&
	    history_->now_ms() > batch.ended_ms + CANCEL_MS + SETTLE_MS)
		history_->violation("UNASKED: " + id +
				    " runs after the end of " + batch.id);
}

// The text of a call's item is whole no sooner than its first run allows.
static bool is_early(const TrainerBatch &batch, const std::string &item,
		     int64_t now_ms)
{
	auto runs = batch.runs.find(item);

	return runs == batch.runs.end() ||
	       now_ms < runs->second[0] + (batch.events - 1) * EVENT_MS;
}

bool Callers::on_reward(const std::string &id, const std::string &engine,
			const std::string &body)
{
	auto found = by_reward_.find(id);
	bool fails = rng_below(&rng_, 8) == 0;

	if (found == by_reward_.end() || body != "score") {
		history_->violation("UNASKED: nobody sent reward call " + id);
		return true;
	}
	TrainerBatch *batch = found->second;
	std::string item = id.substr(0, id.size() - reward_of("").size());

	check_unasked(*batch, id);
	if (is_early(*batch, item, history_->now_ms()) ||
	    takes_plant("early_score"))
		history_->violation("MIXED: " + id +
				    " comes before its text is whole");
	if (fails)
		batch->reward_failures[id]++;
	else
		batch->scores[id].insert(engine);
	history_->note("reward " + id + " at " + engine +
		       (fails ? " fails" : ""));
	return !fails;
}

static std::string text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

void Callers::check_score(const TrainerBatch &batch, const std::string &item,
			  const std::string &score)
{
	auto scores = batch.scores.find(reward_of(item));

	if (!batch.scored ? !score.empty()
			  : scores == batch.scores.end() ||
				    !scores->second.count(score))
		history_->violation("MIXED: " + item + " has score '" + score +
				    "'");
}

static bool may_lack_score(const TrainerBatch &batch, const std::string &item)
{
	auto failures = batch.reward_failures.find(reward_of(item));

	return failures != batch.reward_failures.end() &&
	       failures->second >= MAX_ATTEMPTS;
}

void Callers::take_result(TrainerBatch *batch, size_t position,
			  const json_t *result)
{
	std::string item = text_of(result, "id");
	std::string text = text_of(result, "text");
	std::string state = text_of(result, "state");
	std::string score = text_of(result, "score");
	std::string entry = item + " " + text + " " + score;

	if (position + 1 == batch->listed.size() &&
	    takes_plant("moved_position"))
		entry = batch->items[0] + " other";
	if (state == "complete" && batch->scored && takes_plant("other_score"))
		score = "another";
	if (by_item_.count(item) == 0 || by_item_[item] != batch)
		history_->violation("MIXED: " + item + " in " + batch->id);
	if (state != "complete" &&
	    !(state == "dead_letter" && may_lack_score(*batch, item)))
		history_->violation("MIXED: " + item + " is " + state);
	if (state == "complete")
		check_score(*batch, item, score);
	if (state == "complete" && text != item_text(item, batch->events))
		history_->violation("ORDER: " + item + " has '" + text + "'");
	if (position < batch->listed.size()) {
		if (batch->listed[position] != entry)
			history_->violation("TWICE: position " +
					    std::to_string(position) + " of " +
					    batch->id + " has changed");
		return;
	}
	for (const std::string &known : batch->listed)
		if (known.compare(0, item.size() + 1, item + " ") == 0)
			history_->violation("TWICE: " + item +
					    " is listed again");
	batch->listed.push_back(entry);
}

void Callers::take_results(TrainerBatch *batch, size_t from,
			   const std::string &body)
{
	json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
	json_t *results = json_object_get(root, "results");
	json_t *result;
	size_t at;

	if (json_integer_value(json_object_get(root, "total")) !=
	    (json_int_t)batch->items.size())
		history_->violation("MIXED: total of " + batch->id);
	json_array_foreach (results, at, result)
		take_result(batch, from + at, result);
	json_decref(root);
}

void Callers::on_read(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();
	int64_t now_ms = history_->now_ms();

	batch->busy = false;
	history_->note("read " + call->id + " from " +
		       std::to_string(call->from) + " at " +
		       std::to_string(call->daemon) + " status " +
		       std::to_string(status));
	if (status == 200 && now_ms > batch->accepted_ms + SETTLE_MS &&
	    takes_plant("lost_batch"))
		status = 404;
	if (status == 200)
		take_results(batch, call->from, call->answer);
	else if ((status == 404 || status == 410) &&
		 now_ms > batch->accepted_ms + SETTLE_MS &&
		 weather_->is_calm(call->daemon, now_ms))
		history_->violation("LOST: batch " + call->id +
				    " is not known");
}

void Callers::end(TrainerBatch *batch)
{
	batch->busy = true;
	call("end", (int)rng_below(&rng_, daemons_.size()),
	     "DELETE /v1/lots/" + batch->id + " HTTP/1.1\r\n", "")
		->id = batch->id;
}

void Callers::on_end(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();

	batch->busy = false;
	history_->note("end " + call->id + " status " + std::to_string(status));
	if (status == 200 && batch->ended_ms < 0)
		batch->ended_ms = history_->now_ms();
}
