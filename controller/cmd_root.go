package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/manual"
	"github.com/spf13/cobra"
)

const programName = "controller"

const description = `controller runs beside each entry. Of the controllers of a failure domain one holds the domain's lease: it orders the
domain's endpoints and tells the entries of them. Of all controllers one holds the lease for usage: it closes usage windows and
reports them to the platform. At SIGTERM it gives its leases up and exits.`

func newRootCommand() *cobra.Command {
	root := command.NewGroup(programName, "keeper of leases, orders and usage windows", newServeCommand(), command.NewCheck(checkedSettings()))
	root.Long = description
	root.Annotations = map[string]string{manual.ExitStatus: command.ExitStatus, manual.SeeAlso: "entry(1), cowslipshunt(1)"}
	return root
}
