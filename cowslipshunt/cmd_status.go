package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"io"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

func newStatusCommand(s *session) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "show instances, endpoints and leases as the entry sees them",
		Args:  command.Input(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := s.client()
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
	fmt.Fprintf(w, "entry %s in %s, document version %d\n", cell(a.Instance), cell(a.Domain), a.DocumentVersion)
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
		t.add(e.Endpoint, e.Domain, e.Address, e.Kind, versioned(e.Model, e.ModelVersion), e.Service, e.Role, e.Phase, e.Cheap)
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

// versioned writes a model with its version, or nothing without a model.
func versioned(m wire.ModelName, v wire.ModelVersion) string {
	if m == "" || v == "" {
		return string(m)
	}
	return string(m) + " " + string(v)
}
