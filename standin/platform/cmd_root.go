package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

const programName = "standin-platform"

func newRootCommand() *cobra.Command {
	return command.NewGroup(programName, "stand-in for the platform's services", newServeCommand())
}
