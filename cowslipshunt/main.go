// Command cowslipshunt is the operators' command line. It manages documents and keys and shows the state of the system.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
