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
	light   float64 // worst share of its requests that are good, of workspaces that ask no more than an equal part
	first   float64 // 95th percentile, seconds
	lightly float64 // 95th percentile of the first token of those workspaces, seconds
	saved   float64 // share of the prompt tokens that the caches saved
	whole   float64 // requests answered in the run
	refused float64 // share of the requests
	waited  float64 // mean wait for a refusal, seconds
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
		light:   worstLight(list),
		lightly: firstOfLight(list),
		first:   percentile95(firsts),
		saved:   float64(cached) / float64(max(prompt, 1)),
		whole:   float64(len(firsts)),
		refused: float64(refused) / n,
		waited:  mean(waits),
	}
}

func percentile95(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*95/100]
}

// demands is what the workspaces asked for and how much of it was good, as service.
type demands struct {
	asked, good           []float64
	totalAsked, totalGood float64
}

func demandsOf(list []outcome) demands {
	d := demands{asked: make([]float64, len(even)), good: make([]float64, len(even))}
	for _, o := range list {
		d.asked[o.workspace] += o.service
		d.totalAsked += o.service
		if o.good() {
			d.good[o.workspace] += o.service
			d.totalGood += o.service
		}
	}
	return d
}

// worstShare compares each workspace's good service with its max-min fair part of all good service in the run.
func worstShare(list []outcome) float64 {
	d := demandsOf(list)
	worst := 1.0
	for i, fair := range maxMin(d.asked, d.totalGood) {
		if fair > 0 {
			worst = min(worst, d.good[i]/fair)
		}
	}
	if d.totalGood == 0 {
		return 0
	}
	return worst
}

// light tells whether a workspace asked no more than an equal part.
func (d demands) light(workspace int) bool {
	return d.asked[workspace] > 0 && d.asked[workspace] <= d.totalAsked/float64(len(d.asked))
}

func worstLight(list []outcome) float64 {
	d := demandsOf(list)
	worst := 1.0
	for i, asked := range d.asked {
		if d.light(i) {
			worst = min(worst, d.good[i]/asked)
		}
	}
	return worst
}

func firstOfLight(list []outcome) float64 {
	d := demandsOf(list)
	var firsts []float64
	for _, o := range list {
		if o.answered && d.light(o.workspace) {
			firsts = append(firsts, o.first.Seconds())
		}
	}
	return percentile95(firsts)
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

func mean(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total / float64(max(len(list), 1))
}
