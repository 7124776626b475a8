// Command standin-platform is cowslipshunt's stand-in for the platform's services: tables, objects, endpoint orders, usage
// reports, the instance list and model weights. It injects faults for tests.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
