package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// microsPerUnit is how many CostMicros make a currency unit.
const microsPerUnit = 1_000_000

func addJSONFlag(cmd *cobra.Command) {
	cmd.Flags().Bool("json", false, "print JSON")
}

// printAnswer prints an answer as JSON if the command's --json is set, otherwise through text.
func printAnswer(cmd *cobra.Command, answer any, text func(w io.Writer) error) error {
	w := cmd.OutOrStdout()
	if asJSON, _ := cmd.Flags().GetBool("json"); !asJSON {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(answer)
}

// table collects rows and writes them in columns.
type table struct {
	rows [][]string
}

// add adds a row; the first one is the heading.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, cell(c))
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(columns, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return columns.Flush()
}

// cell writes a value so that it can neither break a table nor steer a terminal.
func cell(value any) string {
	text := fmt.Sprint(value)
	switch v := value.(type) {
	case time.Time:
		text = v.UTC().Format(time.RFC3339Nano)
	case wire.CostMicros:
		text = cost(v)
	}
	if text == "" {
		return "-"
	}
	return safe(text)
}

// safe quotes a text that holds anything but printing characters.
func safe(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// cost writes millionths as a decimal number of currency units.
func cost(c wire.CostMicros) string {
	sign := ""
	if c < 0 {
		sign, c = "-", -c
	}
	return fmt.Sprintf("%s%d.%06d", sign, c/microsPerUnit, c%microsPerUnit)
}
