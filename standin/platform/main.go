// Command standin-platform is cowslipshunt's stand-in for the platform's services.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
