package main

import (
	"github.com/spf13/cobra"
)

// defaultSeeds is how many runs, each with its own seed, a figure is averaged over.
const defaultSeeds = 5

func newRootCommand() *cobra.Command {
	var seeds int
	var only string
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "measure the queueing and endpoint selection of entries on fixed traces",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := newTable(cmd.OutOrStdout(), seeds)
			for _, tr := range traces() {
				if only != "" && only != tr.name {
					continue
				}
				for _, v := range variants() {
					t.add(tr, v, measureSeeds(tr, v, seeds))
				}
			}
			return t.flush()
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", defaultSeeds, "the number of runs per trace and variant, with seeds 1 to N")
	cmd.Flags().StringVar(&only, "trace", "", "the name of the only trace to run (default: all)")
	return cmd
}

// measureSeeds runs a trace once for each seed, from 1 to seeds.
func measureSeeds(tr trace, v variant, seeds int) []measures {
	list := make([]measures, 0, seeds)
	for seed := 1; seed <= seeds; seed++ {
		list = append(list, newFleet(tr, v, uint64(seed)).run())
	}
	return list
}
