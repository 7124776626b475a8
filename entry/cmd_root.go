package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "path of callers' requests to endpoints",
	}
}
