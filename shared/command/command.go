// Package command holds the commands that several programs have in common.
package command

import (
	"fmt"

	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"github.com/spf13/cobra"
)

// NewGroup returns a command that only groups subcommands. Run without a subcommand it prints its help; an unknown subcommand is a
// process.InputError.
func NewGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
	}
	c.AddCommand(commands...)
	return c
}

// InputArgs wraps the errors of an argument check in process.InputError.
func InputArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &process.InputError{Err: err}
		}
		return nil
	}
}

// NewServe returns the serve command, which loads the settings file named by --settings into cfg and then calls run. The flag's
// default is the program's name with the extension .toml.
func NewServe(program, short string, cfg setting.Checker, run func(cmd *cobra.Command) error) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: short,
		Args:  InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := setting.Load(path, cfg); err != nil {
				return err
			}
			return run(cmd)
		},
	}
	cmd.Flags().StringVar(&path, "settings", program+".toml", "settings `FILE`")
	return cmd
}

// NewCheck returns the check command, which only checks a settings file.
func NewCheck(cfg setting.Checker) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "check a settings file",
		Args:  InputArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := setting.Load(args[0], cfg); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", args[0])
			return err
		},
	}
}
