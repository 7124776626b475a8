package main

import "github.com/spf13/cobra"

func newRootCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "standin-service",
		Short: "stand-in for a plain booking service",
	}
}
