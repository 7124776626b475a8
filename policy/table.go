package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// table prints a line for each trace and variant: mean and standard deviation over the seeds.
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
		{100, func(m measures) float64 { return m.worst }},
		{100, func(m measures) float64 { return m.light }},
		{1, func(m measures) float64 { return m.first }},
		{1, func(m measures) float64 { return m.lightly }},
		{100, func(m measures) float64 { return m.saved }},
		{1, func(m measures) float64 { return m.whole }},
		{100, func(m measures) float64 { return m.refused }},
		{1, func(m measures) float64 { return m.waited }},
	}
	fmt.Fprintf(t.w, "%s\t%s", tr.name, v.name)
	for _, c := range columns {
		middle, spread := meanAndSpread(list, c.value)
		fmt.Fprintf(t.w, "\t%.2f ± %.2f", middle*c.scale, spread*c.scale)
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	return t.w.Flush()
}

func meanAndSpread(list []measures, value func(measures) float64) (mean, spread float64) {
	n := float64(len(list))
	for _, m := range list {
		mean += value(m) / n
	}
	if len(list) < 2 {
		return mean, 0
	}
	for _, m := range list {
		spread += (value(m) - mean) * (value(m) - mean) / (n - 1)
	}
	return mean, math.Sqrt(spread)
}
