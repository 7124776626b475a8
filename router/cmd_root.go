package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/manual"
	"github.com/spf13/cobra"
)

const programName = "router"

const description = `router takes callers' requests to the endpoints that the users' platform lists. It follows the operator's configuration in
the platform's store, places and retries requests, meters usage and, while it holds the lease, reports usage, orders
endpoints and changes engines' stages. At SIGTERM it stops being ready, finishes what is in progress and exits.`

func newRootCommand() *cobra.Command {
	root := command.NewGroup(programName, "callers' requests on the users' platform", newServeCommand(), newCheckCommand())
	root.Long = description
	root.Annotations = map[string]string{manual.ExitStatus: command.ExitStatus, manual.SeeAlso: "entry(1)"}
	return root
}
