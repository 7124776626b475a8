package main

import (
	"slices"
	"time"
)

// The target's times for a good answer.
const (
	firstWithin = 640 * time.Millisecond
	gapWithin   = 34 * time.Millisecond
)

// Prices of a token, for service received.
const (
	promptPrice = 1
	outputPrice = 4
)

// outcome is how one request ended.
type outcome struct {
	workspace int
	service   float64
	answered  bool
	refused   bool
	waited    time.Duration // until a refusal
	first     time.Duration
	gap       time.Duration // mean time between tokens
}

func (o outcome) good() bool {
	return o.answered && o.first <= firstWithin && o.gap <= gapWithin
}

// measures are the figures of one run.
type measures struct {
	good    float64 // share of the requests
	worst   float64 // worst-served workspace's share of its fair goodput
	first   float64 // 95th percentile, seconds
	saved   float64 // share of the prompt tokens that the caches saved
	refused float64 // share of the requests
	waited  float64 // 95th percentile of the wait for a refusal, seconds
}

func summarize(list []outcome, prompt, cached int) measures {
	var good, refused int
	var firsts, waits []float64
	for _, o := range list {
		if o.good() {
			good++
		}
		if o.refused {
			refused++
			waits = append(waits, o.waited.Seconds())
		}
		if o.answered {
			firsts = append(firsts, o.first.Seconds())
		}
	}
	n := float64(max(len(list), 1))
	return measures{
		good:    float64(good) / n,
		worst:   worstShare(list),
		first:   percentile95(firsts),
		saved:   float64(cached) / float64(max(prompt, 1)),
		refused: float64(refused) / n,
		waited:  percentile95(waits),
	}
}

func percentile95(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*95/100]
}

// worstShare compares each workspace's good service with its max-min fair part of all good service in the run.
func worstShare(list []outcome) float64 {
	demand := make([]float64, len(even))
	got := make([]float64, len(even))
	total := 0.0
	for _, o := range list {
		demand[o.workspace] += o.service
		if o.good() {
			got[o.workspace] += o.service
			total += o.service
		}
	}
	worst := 1.0
	for i, fair := range maxMin(demand, total) {
		if fair > 0 {
			worst = min(worst, got[i]/fair)
		}
	}
	if total == 0 {
		return 0
	}
	return worst
}

// maxMin divides capacity so that nobody gets more than it asks and the least get as much as possible.
func maxMin(demand []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demand[a] < demand[b] {
			return -1
		}
		return 1
	})
	fair := make([]float64, len(demand))
	for n, i := range order {
		fair[i] = min(demand[i], capacity/float64(len(order)-n))
		capacity -= fair[i]
	}
	return fair
}
