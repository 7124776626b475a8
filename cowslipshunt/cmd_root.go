package main

import (
	"cowslipshunt.example/shared/command"
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
	root := command.NewGroup("cowslipshunt", "command line for operators",
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
