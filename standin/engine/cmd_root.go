package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

const programName = "standin-engine"

func newRootCommand() *cobra.Command {
	return command.NewGroup(programName, "stand-in for a model engine", newServeCommand())
}
