// Package manual generates a program's manual page from its commands.
package manual

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// Page returns a manual page in Markdown. The description is the Long text of the root command; the annotations of the root command
// under Environment, ExitStatus and SeeAlso become the last sections.
func Page(root *cobra.Command) string {
	root.InitDefaultCompletionCmd()
	var b strings.Builder
	fmt.Fprintf(&b, "# %s(1)\n\n", root.Name())
	fmt.Fprintf(&b, "## NAME\n\n%s - %s\n\n", root.Name(), root.Short)
	b.WriteString("## SYNOPSIS\n\n")
	for _, c := range leafCommands(root) {
		fmt.Fprintf(&b, "    %s\n", c.UseLine())
	}
	if root.Long != "" {
		fmt.Fprintf(&b, "\n## DESCRIPTION\n\n%s\n", root.Long)
	}
	writeOptions(&b, "\n## OPTIONS", root.PersistentFlags().FlagUsages())
	writeCommands(&b, root)
	for _, s := range sections {
		if text := root.Annotations[s]; text != "" {
			fmt.Fprintf(&b, "\n## %s\n\n%s\n", s, text)
		}
	}
	return b.String()
}

// Titles of the last sections of a page, in their order. They are keys of the root command's Annotations.
const (
	Environment = "ENVIRONMENT"
	ExitStatus  = "EXIT STATUS"
	SeeAlso     = "SEE ALSO"
)

var sections = []string{Environment, ExitStatus, SeeAlso}

func writeCommands(b *strings.Builder, root *cobra.Command) {
	commands := leafCommands(root)
	if len(commands) == 1 && commands[0] == root {
		return
	}
	b.WriteString("\n## COMMANDS\n")
	for _, c := range commands {
		path := strings.TrimPrefix(c.CommandPath(), root.Name()+" ")
		fmt.Fprintf(b, "\n### %s\n\n%s\n", path, description(c))
		if c.Parent().Name() != "completion" {
			writeOptions(b, "", c.LocalNonPersistentFlags().FlagUsages())
		}
	}
}

// leafCommands returns the commands without subcommands. Commands that only group others just print their help.
func leafCommands(c *cobra.Command) []*cobra.Command {
	var list []*cobra.Command
	for _, child := range c.Commands() {
		if child.IsAvailableCommand() {
			list = append(list, leafCommands(child)...)
		}
	}
	if len(list) == 0 {
		list = append(list, c)
	}
	return list
}

// description returns a command's Long text, or its Short text if there is none or the command generates shell completion.
func description(c *cobra.Command) string {
	if c.Long == "" || c.Parent().Name() == "completion" {
		return c.Short
	}
	return c.Long
}

func writeOptions(b *strings.Builder, title, usages string) {
	if usages == "" {
		return
	}
	if title != "" {
		b.WriteString(title + "\n")
	}
	b.WriteString("\n")
	for line := range strings.Lines(usages) {
		b.WriteString("    " + line)
	}
}
