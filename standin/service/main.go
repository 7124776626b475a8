// Command standin-service is cowslipshunt's stand-in for a plain booking service.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
