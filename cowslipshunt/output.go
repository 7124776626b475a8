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

// columnGapSpaces is the number of spaces between two columns of a table.
const columnGapSpaces = 2

// microsPerUnit is the number of wire.CostMicros in one currency unit.
const microsPerUnit = 1_000_000

func addJSONFlag(cmd *cobra.Command) {
	cmd.Flags().Bool("json", false, "print JSON")
}

// printAnswer prints an answer as JSON if the command's --json flag is set; otherwise it calls writeText.
func printAnswer(cmd *cobra.Command, answer any, writeText func(w io.Writer) error) error {
	w := cmd.OutOrStdout()
	if asJSON, _ := cmd.Flags().GetBool("json"); !asJSON {
		return writeText(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(answer)
}

// table collects rows and writes them in aligned columns.
type table struct {
	rows [][]string
}

// add appends a row; the first row is the heading.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, formatCell(c))
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 0, columnGapSpaces, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(columns, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return columns.Flush()
}

// formatCell formats a value so that it can neither break the table nor send control sequences to the terminal.
func formatCell(value any) string {
	text := fmt.Sprint(value)
	switch v := value.(type) {
	case time.Time:
		text = v.UTC().Format(time.RFC3339Nano)
	case wire.CostMicros:
		text = formatCost(v)
	}
	if text == "" {
		return "-"
	}
	return quoteUnprintable(text)
}

// quoteUnprintable returns the text, quoted as in Go if it contains a character that is not printable.
func quoteUnprintable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// formatCost formats millionths of a currency unit as a decimal number of units.
func formatCost(c wire.CostMicros) string {
	sign := ""
	if c < 0 {
		sign, c = "-", -c
	}
	return fmt.Sprintf("%s%d.%06d", sign, c/microsPerUnit, c%microsPerUnit)
}
