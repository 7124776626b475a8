package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// table prints one line per trace and variant, with each figure's mean and standard deviation over the seeds.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, seeds int) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprintf(w, "mean and standard deviation over %d seeds\n", seeds)
	fmt.Fprintln(t.w, "trace\tvariant\tgoodput %\tworst share %\tworst light %\tp95 first s\tlight p95 first s\tsaved %\tanswered\trefused %\trefusal after s")
	return t
}

func (t *table) add(tr trace, v variant, list []measures) {
	columns := []struct {
		scale float64
		value func(measures) float64
	}{
		{100, func(m measures) float64 { return m.good }},
		{100, func(m measures) float64 { return m.worstShare }},
		{100, func(m measures) float64 { return m.worstLight }},
		{1, func(m measures) float64 { return m.first95 }},
		{1, func(m measures) float64 { return m.lightFirst95 }},
		{100, func(m measures) float64 { return m.cachedShare }},
		{1, func(m measures) float64 { return m.answered }},
		{100, func(m measures) float64 { return m.refused }},
		{1, func(m measures) float64 { return m.refusalWait }},
	}
	fmt.Fprintf(t.w, "%s\t%s", tr.name, v.name)
	for _, c := range columns {
		avg, stdDev := meanAndStdDev(list, c.value)
		fmt.Fprintf(t.w, "\t%.2f ± %.2f", avg*c.scale, stdDev*c.scale)
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	return t.w.Flush()
}

func meanAndStdDev(list []measures, value func(measures) float64) (mean, stdDev float64) {
	n := float64(len(list))
	for _, m := range list {
		mean += value(m) / n
	}
	if len(list) < 2 {
		return mean, 0
	}
	for _, m := range list {
		stdDev += (value(m) - mean) * (value(m) - mean) / (n - 1)
	}
	return mean, math.Sqrt(stdDev)
}
