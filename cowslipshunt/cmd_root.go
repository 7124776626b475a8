package main

import (
	"fmt"

	"cowslipshunt.example/shared/manual"
	"cowslipshunt.example/shared/process"
	"github.com/spf13/cobra"
)

const description = `cowslipshunt checks, submits and shows the operators' document, issues and withdraws keys, and shows what the
system does. All commands but "document check" ask one entry at its operators' address. What the system tells goes to
standard output, remarks go to standard error.`

const environment = `COWSLIPSHUNT_TOKEN
: the operator's token, if there is no --token-file.`

const exitStatus = `0
: done.

1
: failed; for a submission the message says whether it may have taken effect.

2
: bad arguments or a bad document; nothing was changed.

4
: conflict: another version came into force first; nothing was changed and the difference is printed.`

func newRootCommand() *cobra.Command {
	s := &session{}
	root := group("cowslipshunt", "command line for operators",
		newDocumentCommand(s), newKeyCommand(s),
		newStatusCommand(s), newAuditCommand(s), newOrdersCommand(s), newUsageCommand(s))
	root.Long = description
	root.Annotations = map[string]string{manual.Environment: environment, manual.ExitStatus: exitStatus,
		manual.SeeAlso: "entry(1)"}
	flags := root.PersistentFlags()
	flags.StringVar(&s.entry, "entry", "", "operators' address of an entry, as `IP:PORT`")
	flags.StringVar(&s.tokenFile, "token-file", "", "`FILE` that holds the operator's token")
	return root
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: input(cobra.NoArgs), RunE: showHelp}
	c.AddCommand(commands...)
	return c
}

func showHelp(cmd *cobra.Command, _ []string) error {
	return cmd.Help()
}

// input makes an arguments' fault an InputError.
func input(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &process.InputError{Err: err}
		}
		return nil
	}
}

func inputError(format string, args ...any) error {
	return &process.InputError{Err: fmt.Errorf(format, args...)}
}

// need demands that flags are given and not empty.
func need(cmd *cobra.Command, names ...string) error {
	for _, name := range names {
		if f := cmd.Flags().Lookup(name); !f.Changed || f.Value.String() == "" {
			return inputError("--%s is missing", name)
		}
	}
	return nil
}
