package main

import (
	"cowslipshunt.example/shared/command"
	"time"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

// defaultAuditLimit is the number of audit entries shown when --limit is not given.
const defaultAuditLimit = 100

func newAuditCommand(flags *globalFlags) *cobra.Command {
	after, limit := "", 0
	cmd := &cobra.Command{
		Use:   "audit [--after TIME] [--limit N]",
		Short: "show who did what, when and why",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showAudit(cmd, flags, after, limit)
		},
	}
	cmd.Flags().StringVar(&after, "after", "", "show entries after `TIME`, for example 2006-01-02T15:04:05Z")
	cmd.Flags().IntVar(&limit, "limit", defaultAuditLimit, "show at most `N` entries")
	addJSONFlag(cmd)
	return cmd
}

func showAudit(cmd *cobra.Command, flags *globalFlags, after string, limit int) error {
	var start time.Time
	if after != "" {
		var err error
		if start, err = time.Parse(time.RFC3339Nano, after); err != nil {
			return inputError("--after: %q is not a time of the form 2006-01-02T15:04:05Z", after)
		}
	}
	if limit < 1 {
		return inputError("--limit: %d is less than 1", limit)
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	answer, err := client.Audit(cmd.Context(), start, limit)
	if err != nil {
		return err
	}
	return printAudit(cmd, answer)
}

func printAudit(cmd *cobra.Command, answer wire.AuditList) error {
	t := &table{}
	t.add("AT", "WHO", "WHAT", "SUBJECT", "VERSION", "WHY")
	for _, r := range answer.Entries {
		t.add(r.At, r.Who, r.What, r.Subject, r.DocumentVersion, r.Why)
	}
	return printAnswer(cmd, answer, t.write)
}
