package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newUsageCommand(flags *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "usage",
		Short: "show the usage windows",
		Long: "Show the usage windows, with one line per workspace and model or service. Costs are in currency units; with\n" +
			"--json they are in millionths of a unit.",
		Args: command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showUsage(cmd, flags)
		},
	}
	addJSONFlag(cmd)
	return cmd
}

func showUsage(cmd *cobra.Command, flags *globalFlags) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	answer, err := client.Usage(cmd.Context())
	if err != nil {
		return err
	}
	t := &table{}
	t.add("WINDOW", "FROM", "TO", "REPORTED", "WORKSPACE", "MODEL", "REQUESTS", "PROMPT", "OUTPUT", "COST")
	for _, w := range answer.Windows {
		for _, f := range w.Figures {
			t.add(w.Window, w.From, w.To, w.Reported, f.Workspace, f.Model, f.Requests, f.PromptTokens, f.OutputTokens, f.Cost)
		}
		if len(w.Figures) == 0 {
			t.add(w.Window, w.From, w.To, w.Reported, "", "", 0, 0, 0, "")
		}
	}
	return printAnswer(cmd, answer, t.write)
}
