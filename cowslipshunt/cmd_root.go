package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cowslipshunt",
		Short: "command line for operators",
	}
}
