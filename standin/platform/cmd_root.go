package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "standin-platform",
		Short: "stand-in for the platform's services",
	}
	root.AddCommand(newServeCommand())
	return root
}
