// Command router runs one instance of cowslipshunt on the users' platform: it forwards callers' requests to endpoints and performs
// the platform's duties while it holds their lease.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
