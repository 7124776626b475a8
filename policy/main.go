// Command policy simulates the queue and the endpoint selection of entries against fake engines in virtual time, and prints
// goodput, fairness and cache figures for each trace and policy variant.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
