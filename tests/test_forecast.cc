#include <cmath>
#include <random>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "forecast.h"
}

namespace {

constexpr double kPeriodMs = 14000;

// Steps whose loads swing with one period, each with its own phase.
class Forecast : public ::testing::Test {
      protected:
	std::mt19937 random{ 5 };
	std::vector<struct forecast> steps;
	std::vector<double> phases;
	struct forecast_cycle cycle = {};
	double amplitude = 0.2;
	double period_ms = kPeriodMs;
	double noise = 0.015;
	int64_t now = 1000;

	void
	Open(size_t n)
	{
		steps.assign(n, {});
		phases.clear();
		for (size_t i = 0; i < n; i++)
			phases.push_back(
			    std::uniform_real_distribution<>(0, 6.28)(random));
	}
	double
	Load(size_t i, int64_t at) const
	{
		return 0.45 +
		    amplitude *
		    sin(2 * M_PI * (double)at / period_ms + phases[i]);
	}
	void
	Run(int64_t for_ms)
	{
		std::normal_distribution<> error(0, noise);

		for (int64_t end = now + for_ms; now < end; now += 50)
			for (size_t i = 0; i < steps.size(); i++)
				forecast_update(&steps[i], &cycle,
				    Load(i, now) + error(random), now);
	}
	// Root mean square error over the steps, this long ahead.
	double
	Error(int64_t ahead)
	{
		double sum = 0;

		for (size_t i = 0; i < steps.size(); i++) {
			double error = forecast_at(&steps[i], now + ahead) -
			    Load(i, now + ahead);
			sum += error * error;
		}
		return sqrt(sum / (double)steps.size());
	}
	double
	ErrorOfLast(int64_t ahead)
	{
		double sum = 0;

		for (size_t i = 0; i < steps.size(); i++) {
			double error = Load(i, now) - Load(i, now + ahead);
			sum += error * error;
		}
		return sqrt(sum / (double)steps.size());
	}
};

} // namespace

TEST_F(Forecast, NothingKnownGivesTheLastValue)
{
	struct forecast one = {};

	EXPECT_EQ(forecast_at(&one, 500), 0);
	forecast_update(&one, &cycle, 0.3, 1000);
	EXPECT_DOUBLE_EQ(forecast_at(&one, 2000), 0.3);
	EXPECT_EQ(forecast_best(&one), FORECAST_LAST);
	EXPECT_EQ(forecast_period_ms(&cycle), 0);
}

// Guards against pacing by a load that is a poll's interval old.
TEST_F(Forecast, ACycleIsForetoldBetterThanByTheLastValue)
{
	Open(40);
	Run(30000);
	EXPECT_NEAR(forecast_period_ms(&cycle), kPeriodMs, 700);
	EXPECT_LT(Error(200), 0.02);
	EXPECT_LT(Error(2000), 0.4 * ErrorOfLast(2000));
}

// Guards against a search that finds only periods near the one of other tests.
TEST_F(Forecast, AShorterCycleIsFound)
{
	period_ms = 6000;
	Open(40);
	Run(20000);
	EXPECT_NEAR(forecast_period_ms(&cycle), 6000, 300);
	EXPECT_LT(Error(1000), 0.4 * ErrorOfLast(1000));
}

// Guards against a new leader that forecasts nothing for a whole cycle.
TEST_F(Forecast, AGivenPeriodIsUsedBeforeItWasSeen)
{
	forecast_set_period(&cycle, kPeriodMs);
	Open(40);
	Run(9000);
	EXPECT_EQ(forecast_period_ms(&cycle), kPeriodMs);
	EXPECT_LT(Error(1000), 0.7 * ErrorOfLast(1000));
}

TEST_F(Forecast, UnusablePeriodsAreIgnored)
{
	forecast_set_period(&cycle, NAN);
	forecast_set_period(&cycle, -5);
	forecast_set_period(&cycle, 0);
	forecast_set_period(&cycle, 1e9);
	EXPECT_EQ(forecast_period_ms(&cycle), 0);
}

// Guards against a cycle that is fitted to noise.
TEST_F(Forecast, NoiseAroundAConstantHasNoCycle)
{
	amplitude = 0;
	noise = 0.03;
	Open(40);
	Run(40000);
	EXPECT_EQ(forecast_period_ms(&cycle), 0);
	EXPECT_LT(Error(2000), 0.05);
}

// Guards against a forecast from samples before a gap in the updates.
TEST_F(Forecast, ASilenceForgetsTheStep)
{
	Open(1);
	Run(30000);
	now += 5000;
	forecast_update(&steps[0], &cycle, 0.31, now);
	EXPECT_DOUBLE_EQ(forecast_at(&steps[0], now + 1000), 0.31);
	EXPECT_EQ(forecast_best(&steps[0]), FORECAST_LAST);
}

// Guards against placing a filler before a crest of the load beside it.
TEST_F(Forecast, TheHighestLoadWithinASpanIsThatOfTheCrest)
{
	Open(40);
	Run(30000);
	for (size_t i = 0; i < steps.size(); i++) {
		double highest = 0;

		for (int64_t ahead = 0; ahead <= 2000; ahead += 50)
			highest = std::max(highest, Load(i, now + ahead));
		EXPECT_NEAR(forecast_highest(&steps[i], now, now + 2000),
		    highest, 0.06);
	}
}

// Guards against a trend that is extrapolated below 0 or above 1.
TEST_F(Forecast, ForecastsStayLoads)
{
	struct forecast one = {};

	for (int i = 0; i < 40; i++)
		forecast_update(&one, &cycle, 0.02 * (i % 40), now += 300);
	EXPECT_LE(forecast_at(&one, now + 3000), 1);
	for (int i = 40; i > 0; i--)
		forecast_update(&one, &cycle, 0.02 * i, now += 300);
	EXPECT_GE(forecast_at(&one, now + 3000), 0);
}

// Guards against unplanned use of memory: each serving step has one struct.
TEST_F(Forecast, IsSmall)
{
	EXPECT_LE(sizeof(struct forecast), 600u);
}
