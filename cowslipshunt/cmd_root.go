package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"

	"cowslipshunt.example/shared/manual"
	"cowslipshunt.example/shared/process"
	"github.com/spf13/cobra"
)

const description = `cowslipshunt checks, submits and shows the operators' document, issues and withdraws keys, and shows what the
system does. Commands that read or change the system connect to one entry at its operators' address. Results go to
standard output, messages to standard error.`

const environment = `COWSLIPSHUNT_TOKEN
: the operator's token, used when --token-file is not given.`

const exitStatus = `0
: success.

1
: failure; for a submission the message says whether it may have taken effect.

2
: invalid arguments or an invalid document; nothing was changed.

4
: conflict: another version came into force first; nothing was changed, and the differences are printed.`

func newRootCommand() *cobra.Command {
	flags := &globalFlags{}
	root := command.NewGroup("cowslipshunt", "command line for operators",
		newDocumentCommand(flags), newKeyCommand(flags),
		newStatusCommand(flags), newAuditCommand(flags), newOrdersCommand(flags), newUsageCommand(flags))
	root.Long = description
	root.Annotations = map[string]string{manual.Environment: environment, manual.ExitStatus: exitStatus,
		manual.SeeAlso: "entry(1)"}
	persistent := root.PersistentFlags()
	persistent.StringVar(&flags.entry, "entry", "", "operators' address of an entry, as `IP:PORT`")
	persistent.StringVar(&flags.tokenFile, "token-file", "", "`FILE` that holds the operator's token")
	return root
}

func inputError(format string, args ...any) error {
	return &process.InputError{Err: fmt.Errorf(format, args...)}
}

// requireFlags returns an InputError unless all named flags are given and not empty.
func requireFlags(cmd *cobra.Command, names ...string) error {
	for _, name := range names {
		if f := cmd.Flags().Lookup(name); !f.Changed || f.Value.String() == "" {
			return inputError("--%s is missing", name)
		}
	}
	return nil
}
