package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"io"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

func newStatusCommand(flags *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "show the instances, endpoints and leases known to the entry",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			answer, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return printAnswer(cmd, answer, func(w io.Writer) error {
				return writeStatus(w, answer)
			})
		},
	}
	addJSONFlag(cmd)
	return cmd
}

func writeStatus(w io.Writer, a wire.StatusAnswer) error {
	fmt.Fprintf(w, "entry %s in %s, document version %d\n", formatCell(a.Instance), formatCell(a.Domain), a.DocumentVersion)
	for _, t := range []*table{instanceTable(a.Instances), endpointTable(a.Endpoints), leaseTable(a.Leases)} {
		fmt.Fprintln(w)
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

func instanceTable(list []wire.InstanceStatus) *table {
	t := &table{}
	t.add("INSTANCE", "PROGRAM", "DOMAIN", "VERSION", "CONNECTED")
	for _, i := range list {
		t.add(i.Instance, i.Program, i.Domain, i.DocumentVersion, i.Connected)
	}
	return t
}

func endpointTable(list []wire.EndpointState) *table {
	t := &table{}
	t.add("ENDPOINT", "DOMAIN", "ADDRESS", "KIND", "MODEL", "SERVICE", "ROLE", "PHASE", "CHEAP")
	for _, e := range list {
		t.add(e.Endpoint, e.Domain, e.Address, e.Kind, formatModel(e.Model, e.ModelVersion), e.Service, e.Role, e.Phase, e.Cheap)
	}
	return t
}

func leaseTable(list []wire.LeaseRow) *table {
	t := &table{}
	t.add("LEASE", "HOLDER", "EPOCH")
	for _, l := range list {
		t.add(l.Lease, l.Holder, l.Epoch)
	}
	return t
}

// formatModel returns a model's name and version, or an empty string if there is no model.
func formatModel(m wire.ModelName, v wire.ModelVersion) string {
	if m == "" || v == "" {
		return string(m)
	}
	return string(m) + " " + string(v)
}
