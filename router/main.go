// Command router is cowslipshunt on the users' platform: the path of callers' requests and the duties of one instance.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
