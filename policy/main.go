// Command policy measures the queue and the choice of endpoint that entries use, on small fakes of engines in virtual time.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
