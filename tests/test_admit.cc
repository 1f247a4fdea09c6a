#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "admit.h"
}

namespace {

struct Admit : testing::Test {
	admit *a = nullptr;
	quota *q = nullptr;
	std::vector<std::unique_ptr<admit_item>> items;
	std::vector<admit_item *> started, expired;
	std::map<admit_service *, int> free_credits;
	int64_t retry_after_ms = 0;

	Admit()
	{
		quota_options qo = { 1000 };
		q = quota_open(&qo);
		admit_options o = {};
		o.quota = q;
		o.queue_max = 1000;
		o.queue_bytes_max = 1000000;
		o.normal_every = 4;
		o.retry_after_max_ms = 30000;
		o.start = [](admit_item *it, void *ctx) {
			Admit *t = static_cast<Admit *>(ctx);
			if (t->free_credits[it->service] == 0)
				return false;
			t->free_credits[it->service]--;
			t->started.push_back(it);
			return true;
		};
		o.expired = [](admit_item *it, bool, void *ctx) {
			static_cast<Admit *>(ctx)->expired.push_back(it);
		};
		o.ctx = this;
		a = admit_open(&o);
	}

	~Admit() override
	{
		for (auto &it : items)
			admit_cancel(it.get());
		for (auto &f : free_credits)
			admit_remove_service(f.first);
		admit_close(a);
		quota_close(q);
	}

	admit_service *
	service(int credits, unsigned int weight = 1)
	{
		admit_service *s = admit_add_service(a, weight);
		admit_set_capacity(s, credits, true);
		free_credits[s] = credits;
		return s;
	}

	admit_item *
	item(int64_t deadline_ms, admit_priority priority = ADMIT_NORMAL)
	{
		items.push_back(std::make_unique<admit_item>());
		admit_item *it = items.back().get();
		*it = {};
		it->priority = priority;
		it->deadline_ms = deadline_ms;
		it->bytes = 100;
		return it;
	}

	admit_verdict
	offer(admit_service *s, int64_t deadline_ms, int64_t now_ms,
	    admit_priority priority = ADMIT_NORMAL)
	{
		return admit_offer(
		    s, item(deadline_ms, priority), now_ms, &retry_after_ms);
	}

	/* Finish the oldest started call with success. */
	void
	finish_first(int64_t now_ms)
	{
		admit_item *it = started.front();
		started.erase(started.begin());
		free_credits[it->service]++;
		admit_finish(it, true, now_ms);
	}

	/* Train the estimate of the service time. */
	void
	serve_one(admit_service *s, int64_t served_ms)
	{
		offer(s, 1000000, 0);
		admit_run(a, 0);
		finish_first(served_ms);
	}
};

TEST_F(Admit, RefusesWhatCantMeetItsDeadline)
{
	admit_service *s = service(2);
	serve_one(s, 100);
	EXPECT_EQ(admit_service_ms(s), 100);
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(offer(s, 100000, 100), ADMIT_ACCEPTED);
	admit_run(a, 100);
	EXPECT_EQ(started.size(), 2U);
	/*
	 * Four calls wait for two credits of 100 ms each: 250 ms, and 100 ms to
	 * run.
	 */
	EXPECT_EQ(admit_wait_ms(s, ADMIT_NORMAL), 250);
	EXPECT_EQ(offer(s, 199, 100), ADMIT_CANT_MEET_DEADLINE);
	EXPECT_EQ(offer(s, 100 + 349, 100), ADMIT_CANT_MEET_DEADLINE);
	EXPECT_GE(retry_after_ms, 1);
	EXPECT_EQ(offer(s, 100 + 350, 100), ADMIT_ACCEPTED);
	/* No call is queued ahead of an urgent one. */
	EXPECT_EQ(offer(s, 100 + 150, 100, ADMIT_URGENT), ADMIT_ACCEPTED);
	EXPECT_EQ(offer(s, 50, 100), ADMIT_CANT_MEET_DEADLINE);
}

/*
 * A queued call is due for dispatch when it can no longer meet its deadline.
 * It expires instead of being started, and the slot goes to the next call.
 */
TEST_F(Admit, DispatchAfterTheDeadlineExpires)
{
	admit_service *s = service(1);
	serve_one(s, 100);
	offer(s, 100000, 100);
	admit_run(a, 100);
	offer(s, 350, 100);
	offer(s, 100000, 100);
	finish_first(300);
	offer(s, 100000, 300);
	admit_run(a, 300);
	ASSERT_EQ(expired.size(), 1U);
	EXPECT_EQ(expired[0], items[2].get());
	ASSERT_EQ(started.size(), 1U);
	EXPECT_EQ(started[0], items[3].get());
}

/*
 * A slow period raises the estimate above every deadline.  Some calls are still
 * admitted, so that the end of the period is detected.
 */
TEST_F(Admit, RecoversFromASlowSpell)
{
	admit_service *s = service(8);
	serve_one(s, 5000);
	int64_t now_ms = 5000;
	for (int i = 0; i < 100; i++) {
		EXPECT_EQ(offer(s, now_ms + 200, now_ms), ADMIT_ACCEPTED) << i;
		admit_run(a, now_ms);
		ASSERT_EQ(started.size(), 1U) << i;
		now_ms += 10;
		finish_first(now_ms);
	}
	EXPECT_LT(admit_service_ms(s), 200);
}

/*
 * The callers refused in one burst get different retry times, or they would all
 * return together as the next burst.
 */
TEST_F(Admit, RefusedCallersReturnSpreadOut)
{
	admit_service *s = service(1);
	serve_one(s, 500);
	std::vector<int64_t> told;
	for (int i = 0; i < 80; i++)
		if (offer(s, 1100, 500) != ADMIT_ACCEPTED)
			told.push_back(retry_after_ms);
	EXPECT_GE(told.back(), told.front() + 20000);
	EXPECT_LE(told.back(), 30000);
}

TEST_F(Admit, UrgentFirstWithoutStarvingNormal)
{
	admit_service *s = service(0);
	for (int i = 0; i < 8; i++) {
		offer(s, 100000, 0, ADMIT_NORMAL);
		offer(s, 100000, 0, ADMIT_URGENT);
	}
	free_credits[s] = 8;
	admit_run(a, 0);
	std::string order;
	for (admit_item *it : started)
		order += it->priority == ADMIT_URGENT ? 'u' : 'n';
	EXPECT_EQ(order, "uuunuuun");
}

TEST_F(Admit, ServicesShareByWeight)
{
	admit_service *s3 = service(0, 3), *s1 = service(0, 1);
	for (int i = 0; i < 40; i++) {
		offer(s3, 100000, 0);
		offer(s1, 100000, 0);
	}
	free_credits[s3] = free_credits[s1] = 40;
	admit_run(a, 0);
	int of_s3 = 0;
	for (int i = 0; i < 40; i++)
		of_s3 += started[i]->service == s3;
	EXPECT_EQ(of_s3, 30);
	EXPECT_EQ(started.size(), 80U);
}

/*
 * A service without credits does not block another one, and its calls may be
 * cancelled in the meantime.
 */
TEST_F(Admit, BlockedServiceHoldsNobodyBack)
{
	admit_service *blocked = service(0), *open = service(0);
	offer(blocked, 1000, 0);
	offer(open, 1000, 0);
	free_credits[open] = 1;
	admit_run(a, 0);
	ASSERT_EQ(started.size(), 1U);
	EXPECT_EQ(started[0]->service, open);
	admit_cancel(items[0].get());
	EXPECT_EQ(admit_queued(a), 0U);
	admit_run(a, 0);
	EXPECT_EQ(started.size(), 1U);
}

/* A burst of callers cancels: all their slots are free in the next pass. */
TEST_F(Admit, BurstOfCancellationsFreesInOnePass)
{
	admit_service *s = service(5);
	for (int i = 0; i < 500; i++)
		offer(s, 100000, 0);
	admit_run(a, 0);
	for (int i = 0; i < 490; i++) {
		if (items[i]->state == ADMIT_RUNNING)
			free_credits[s]++;
		admit_cancel(items[i].get());
		EXPECT_EQ(items[i]->state, ADMIT_IDLE);
	}
	admit_run(a, 1);
	EXPECT_EQ(started.size(), 10U);
	EXPECT_EQ(admit_queued(a), 5U);
	EXPECT_EQ(admit_running(a), 5U);
}

/*
 * The deadline of a running call and of a queued one passes: both expire at
 * that moment, in the order of their deadlines.
 */
TEST_F(Admit, ExpiresQueuedAndRunning)
{
	admit_service *s = service(1);
	offer(s, 300, 0);
	admit_run(a, 0);
	offer(s, 200, 0);
	EXPECT_EQ(admit_next_deadline_ms(a), 200);
	admit_expire(a, 199);
	EXPECT_TRUE(expired.empty());
	admit_expire(a, 300);
	ASSERT_EQ(expired.size(), 2U);
	EXPECT_EQ(expired[0], items[1].get());
	EXPECT_EQ(admit_next_deadline_ms(a), -1);
	/*
	 * The time of a running call until it expired counts as service time.
	 */
	EXPECT_EQ(admit_service_ms(s), 300);
}

TEST_F(Admit, RequeuedGoesFirst)
{
	admit_service *s = service(1);
	offer(s, 1000, 0);
	admit_run(a, 0);
	offer(s, 1000, 0);
	admit_requeue(started[0]);
	free_credits[s] = 1;
	admit_run(a, 1);
	ASSERT_EQ(started.size(), 2U);
	EXPECT_EQ(started[1], started[0]);
}

TEST_F(Admit, QuotaBoundsAndStop)
{
	admit_service *s = service(0);
	quota_set(q, "broker", 1, 0);
	admit_item *it = item(1000);
	strlcpy(it->team, "broker", sizeof(it->team));
	EXPECT_EQ(admit_offer(s, it, 0, &retry_after_ms), ADMIT_ACCEPTED);
	it = item(1000);
	strlcpy(it->team, "broker", sizeof(it->team));
	EXPECT_EQ(admit_offer(s, it, 0, &retry_after_ms), ADMIT_TEAM_QUOTA);
	EXPECT_GT(retry_after_ms, 0);
	it = item(1000);
	it->bytes = 1000000;
	EXPECT_EQ(admit_offer(s, it, 0, &retry_after_ms), ADMIT_QUEUE_FULL);
	for (int i = 0; i < 999; i++)
		EXPECT_EQ(offer(s, 1000, 0), ADMIT_ACCEPTED);
	EXPECT_EQ(offer(s, 1000, 0), ADMIT_QUEUE_FULL);
	admit_set_capacity(s, 0, false);
	EXPECT_EQ(offer(s, 1000, 0), ADMIT_NO_ENDPOINT);
	admit_stop(a);
	EXPECT_EQ(offer(s, 1000, 0), ADMIT_STOPPING);
}

} // namespace
