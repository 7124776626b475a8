package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newOrdersCommand(flags *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "orders",
		Short: "show the orders to engines and for endpoints",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showOrders(cmd, flags)
		},
	}
	addJSONFlag(cmd)
	return cmd
}

func showOrders(cmd *cobra.Command, flags *globalFlags) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	answer, err := client.Orders(cmd.Context())
	if err != nil {
		return err
	}
	t := &table{}
	t.add("AT", "ORDER", "DOMAIN", "STATE", "ACTION", "ENDPOINT", "KIND", "COUNT", "MODEL", "ROLE", "HOLDER", "EPOCH", "WHY")
	for _, o := range answer.Orders {
		t.add(o.At, o.Order, o.Domain, o.State, o.Action, o.Endpoint, o.Kind, o.Count,
			formatModel(o.Model, o.ModelVersion), o.Role, o.Holder, o.Epoch, o.Why)
	}
	return printAnswer(cmd, answer, t.write)
}
