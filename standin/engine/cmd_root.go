package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "standin-engine",
		Short: "stand-in for a model engine",
	}
	root.AddCommand(newServeCommand())
	return root
}
