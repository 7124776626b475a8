package main

import (
	"slices"
	"time"
)

// Latency targets of a good answer: until its first token, and for the mean gap between tokens.
const (
	maxFirstToken = 640 * time.Millisecond
	maxTokenGap   = 34 * time.Millisecond
)

// Service that the queue charges per token, in its units.
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
	waited    time.Duration // until it was refused
	first     time.Duration // until the first token
	gap       time.Duration // mean time between tokens
}

func (o outcome) good() bool {
	return o.answered && o.first <= maxFirstToken && o.gap <= maxTokenGap
}

// measures are the figures of one run.
type measures struct {
	good         float64 // share of the requests
	worstShare   float64 // lowest ratio of a workspace's good service to its max-min fair part
	worstLight   float64 // lowest share of good service, over the workspaces that ask for no more than an equal part of the total
	first95      float64 // 95th percentile of the time to the first token, seconds
	lightFirst95 float64 // the same over the workspaces that ask for no more than an equal part, seconds
	cachedShare  float64 // share of the prompt tokens found in the engines' caches
	answered     float64 // requests answered in the run
	refused      float64 // share of the requests
	refusalWait  float64 // mean wait for a refusal, seconds
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
		good:         float64(good) / n,
		worstShare:   worstShare(list),
		worstLight:   worstLightShare(list),
		lightFirst95: firstTokenOfLight(list),
		first95:      percentile95(firsts),
		cachedShare:  float64(cached) / float64(max(prompt, 1)),
		answered:     float64(len(firsts)),
		refused:      float64(refused) / n,
		refusalWait:  mean(waits),
	}
}

func percentile95(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*95/100]
}

// demands is the service that each workspace asked for, and the part of it that was answered within the latency targets.
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

// worstShare returns the lowest ratio, over the workspaces, of good service to the max-min fair part of all good service.
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

// isLight reports whether a workspace asked for something, but for no more than an equal part of the total.
func (d demands) isLight(workspace int) bool {
	return d.asked[workspace] > 0 && d.asked[workspace] <= d.totalAsked/float64(len(d.asked))
}

func worstLightShare(list []outcome) float64 {
	d := demandsOf(list)
	worst := 1.0
	for i, asked := range d.asked {
		if d.isLight(i) {
			worst = min(worst, d.good[i]/asked)
		}
	}
	return worst
}

func firstTokenOfLight(list []outcome) float64 {
	d := demandsOf(list)
	var firsts []float64
	for _, o := range list {
		if o.answered && d.isLight(o.workspace) {
			firsts = append(firsts, o.first.Seconds())
		}
	}
	return percentile95(firsts)
}

// maxMin returns the max-min fair allocation of capacity: no demand is exceeded, and the smallest demands are met first.
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
