// Command standin-engine is cowslipshunt's stand-in for a model engine: it serves deterministic completions over OpenAI's
// interface, accepts orders and injects faults for tests.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
