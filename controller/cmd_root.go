package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "controller",
		Short: "keeper of leases, orders and usage windows",
	}
	cmd.AddCommand(newServeCommand())
	return cmd
}
