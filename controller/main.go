// Command controller is cowslipshunt's keeper of leases, orders and usage windows.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
