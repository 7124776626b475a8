package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/manual"
	"github.com/spf13/cobra"
)

const programName = "entry"

const description = `entry forwards callers' requests to endpoints: it authenticates them by the keys in the accepted document, queues them fairly,
chooses an endpoint of its failure domain, streams the answer and meters usage. It also serves the operators' interface. While
it holds the lease of its failure domain, it gives orders to the domain's endpoints. One instance of the deployment holds the
usage lease and reports usage windows. At SIGTERM it stops being ready, releases its leases, finishes the requests in progress,
writes its usage and exits; a second signal ends it at once.`

func newRootCommand() *cobra.Command {
	root := command.NewGroup(programName, "forward callers' requests to endpoints", newServeCommand(), command.NewCheck(&settings{}))
	root.Long = description
	root.Annotations = map[string]string{manual.ExitStatus: command.ExitStatus, manual.SeeAlso: "cowslipshunt(1)"}
	return root
}
