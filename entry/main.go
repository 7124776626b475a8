// Command entry forwards callers' requests to cowslipshunt's endpoints.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
