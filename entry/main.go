// Command entry is cowslipshunt's path of callers' requests to endpoints.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
