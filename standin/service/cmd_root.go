package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "standin-service",
		Short: "stand-in for a plain booking service",
	}
	root.AddCommand(newServeCommand())
	return root
}
