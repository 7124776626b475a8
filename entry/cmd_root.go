package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "entry",
		Short: "path of callers' requests to endpoints",
	}
	root.AddCommand(newServeCommand(), newCheckCommand())
	return root
}
