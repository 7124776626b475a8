package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

const programName = "standin-service"

func newRootCommand() *cobra.Command {
	return command.NewGroup(programName, "stand-in for a plain booking service", newServeCommand())
}
