package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "controller",
		Short: "keeper of leases, orders and usage windows",
	}
}
