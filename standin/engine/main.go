// Command standin-engine is cowslipshunt's stand-in for a model engine.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
