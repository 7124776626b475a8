package main

import (
	"bufio"
	"cowslipshunt.example/shared/command"
	"errors"
	"fmt"
	"strings"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"github.com/spf13/cobra"
)

var errNoKey = errors.New("no key on standard input")

func newKeyDigestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "digest",
		Short: "print the digest of a key or token",
		Long:  "Print the digest of the key or token on the first line of standard input, in the form used in documents and settings.",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return &process.InputError{Err: errNoKey}
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), document.KeyDigest(key))
			return err
		},
	}
}
