// Command cowslipshunt is cowslipshunt's command line for operators.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
