// Command standin-service is cowslipshunt's stand-in for a booking service: it counts bookings and injects faults for tests.
package main

import (
	"os"

	"cowslipshunt.example/shared/process"
)

func main() {
	os.Exit(process.Main(newRootCommand()))
}
