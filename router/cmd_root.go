package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/manual"
	"github.com/spf13/cobra"
)

const programName = "router"

const description = `router forwards callers' requests to the endpoints that the users' platform lists. It follows the operator's configuration in
the platform's store, chooses endpoints, retries requests and meters usage. While it holds the lease, it also reports usage,
scales endpoints and changes engines' stages. At SIGTERM it stops being ready, finishes open requests and exits.`

func newRootCommand() *cobra.Command {
	root := command.NewGroup(programName, "forward callers' requests on the users' platform", newServeCommand(), newCheckCommand(), newExplainCommand())
	root.Long = description
	root.Annotations = map[string]string{manual.ExitStatus: command.ExitStatus, manual.SeeAlso: "entry(1)"}
	return root
}
